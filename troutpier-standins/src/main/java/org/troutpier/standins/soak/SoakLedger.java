package org.troutpier.standins.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.troutpier.standins.fault.RunLog;

/**
 * What callers were told, to be held against what ran. Thread safe by its lock. A request has one
 * id over all its asks; each ask has a mark of its own, {@code id#number}.
 */
final class SoakLedger {

    /** Parts a request's id from the number of the ask. */
    static final char ASK_SEPARATOR = '#';

    /** What must be true of everything said so far, and is not. */
    private final List<String> mViolations = new ArrayList<>();

    /** The asks that were told that nothing was run. */
    private final Set<String> mToldNotRun = new HashSet<>();

    /** The requests that must not be run twice. */
    private final Set<String> mOnce = new HashSet<>();

    /** The run whose answer a keyed request got. */
    private final Map<String, String> mAnswers = new HashMap<>();

    /** How many requests there were. */
    private int mRequests;

    /** How many asks there were. */
    private int mAsks;

    /**
     * Takes note of a request.
     *
     * @param id the request
     * @param once whether it must not be run twice
     */
    synchronized void request(String id, boolean once) {
        mRequests++;
        if (once) {
            mOnce.add(id);
        }
    }

    /** Takes note of an ask. */
    synchronized void ask() {
        mAsks++;
    }

    /**
     * Takes note that an ask was told that nothing was run.
     *
     * @param mark the ask
     */
    synchronized void toldNotRun(String mark) {
        mToldNotRun.add(mark);
    }

    /**
     * Takes note of a keyed request's whole answer.
     *
     * @param id the request
     * @param run names the run that made the answer
     */
    synchronized void answered(String id, String run) {
        String before = mAnswers.putIfAbsent(id, run);
        if (before != null && !before.equals(run)) {
            mViolations.add(id + " got two answers, of runs " + before + " and " + run);
        }
    }

    /**
     * Takes note of something that must not be.
     *
     * @param what what it is
     */
    synchronized void violation(String what) {
        mViolations.add(what);
    }

    /**
     * Holds what ran against what was told.
     *
     * @param ran what ran
     */
    synchronized void compare(List<RunLog.Entry> ran) {
        Map<String, Integer> starts = new HashMap<>();
        for (RunLog.Entry entry : ran) {
            if (!entry.step().equals("started") || entry.call().isEmpty()) {
                continue;
            }
            if (mToldNotRun.contains(entry.call())) {
                mViolations.add(entry.call() + " was told as not run but ran");
            }
            String id = entry.call().substring(0, entry.call().indexOf(ASK_SEPARATOR));
            starts.merge(id, 1, Integer::sum);
        }
        for (String id : mOnce) {
            if (starts.getOrDefault(id, 0) > 1) {
                mViolations.add(id + " must not be repeated but ran " + starts.get(id) + " times");
            }
        }
    }

    /**
     * Lists what must not be and is.
     *
     * @return a copy
     */
    synchronized List<String> violations() {
        return List.copyOf(mViolations);
    }

    /**
     * Counts the requests.
     *
     * @return how many there were
     */
    synchronized int requests() {
        return mRequests;
    }

    /**
     * Counts the asks.
     *
     * @return how many there were
     */
    synchronized int asks() {
        return mAsks;
    }
}
