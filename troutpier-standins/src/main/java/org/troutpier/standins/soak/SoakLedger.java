package org.troutpier.standins.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.troutpier.standins.fault.RunLog;

/**
 * Records the outcomes that callers received, to be compared with what the upstreams ran. Thread
 * safe; guarded by its own lock. A request keeps its id over all attempts; the id of an attempt is
 * {@code id#number}.
 */
final class SoakLedger {

    /** Separates the id of a request from the number of the attempt. */
    static final char ATTEMPT_SEPARATOR = '#';

    /** The violations found so far. */
    private final List<String> mViolations = new ArrayList<>();

    /** The attempts that were answered with the family not-run. */
    private final Set<String> mNotRun = new HashSet<>();

    /** The requests that must not run more than once. */
    private final Set<String> mNonRepeatable = new HashSet<>();

    /** The run that produced the answer, by keyed request. */
    private final Map<String, String> mAnsweringRuns = new HashMap<>();

    private int mRequests;

    private int mAttempts;

    /**
     * Records a request.
     *
     * @param id the id of the request
     * @param nonRepeatable whether it must not run more than once
     */
    synchronized void recordRequest(String id, boolean nonRepeatable) {
        mRequests++;
        if (nonRepeatable) {
            mNonRepeatable.add(id);
        }
    }

    /** Records an attempt of any request. */
    synchronized void recordAttempt() {
        mAttempts++;
    }

    /**
     * Records that an attempt was answered with the family not-run.
     *
     * @param attempt the id of the attempt
     */
    synchronized void recordNotRun(String attempt) {
        mNotRun.add(attempt);
    }

    /**
     * Records the complete answer of a keyed request; two answers must come from the same run.
     *
     * @param id the id of the request
     * @param run the run that produced the answer
     */
    synchronized void recordAnswer(String id, String run) {
        String before = mAnsweringRuns.putIfAbsent(id, run);
        if (before != null && !before.equals(run)) {
            mViolations.add(id + " got two answers, of runs " + before + " and " + run);
        }
    }

    /**
     * Records a violation.
     *
     * @param description what was violated
     */
    synchronized void recordViolation(String description) {
        mViolations.add(description);
    }

    /**
     * Checks the run logs against the outcomes that callers received.
     *
     * @param entries the run log entries of all stand-ins
     */
    synchronized void checkRuns(List<RunLog.Entry> entries) {
        Map<String, Integer> starts = new HashMap<>();
        for (RunLog.Entry entry : entries) {
            if (!entry.step().equals("started") || entry.call().isEmpty()) {
                continue;
            }
            if (mNotRun.contains(entry.call())) {
                mViolations.add(entry.call() + " was answered as not run but ran");
            }
            String id = entry.call().substring(0, entry.call().indexOf(ATTEMPT_SEPARATOR));
            starts.merge(id, 1, Integer::sum);
        }
        for (String id : mNonRepeatable) {
            if (starts.getOrDefault(id, 0) > 1) {
                mViolations.add(id + " must not be repeated but ran " + starts.get(id) + " times");
            }
        }
    }

    /**
     * Returns the violations found so far.
     *
     * @return a copy
     */
    synchronized List<String> violations() {
        return List.copyOf(mViolations);
    }

    synchronized int requests() {
        return mRequests;
    }

    synchronized int attempts() {
        return mAttempts;
    }
}
