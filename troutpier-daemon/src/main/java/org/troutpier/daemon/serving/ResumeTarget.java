package org.troutpier.daemon.serving;

import java.util.List;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * The decode engine that still has the prompt of a run whose answer was lost. An engine caches
 * prompts until it needs the memory and evicts the least recently used parts first, so the run can
 * be resumed there without another prefill. Confined to the traffic loop. Invariant: a request is
 * resumed at an engine that lost its answer at most {@link #MAX_RESUMES} times in total.
 */
final class ResumeTarget {

    /**
     * How often a request is resumed at an engine that lost its answer: an engine that loses two of
     * five answers loses three in a row about once in sixteen times.
     */
    static final int MAX_RESUMES = 2;

    /** The engine that has the prompt, or null. */
    private UpstreamEntry mEngine;

    private int mResumes;

    /**
     * Records a failed run.
     *
     * @param engine the engine of the run
     * @return whether the run may be resumed there: its connection was lost and nothing indicates
     *     that the engine is gone. An engine that was merely silent may never have fetched the
     *     prompt
     */
    boolean recordLoss(UpstreamEntry engine, AttemptEnd end) {
        boolean answerLost = !end.notStarted() && end.unreachable();
        mEngine = answerLost && mResumes < MAX_RESUMES ? engine : null;
        return mEngine != null;
    }

    /**
     * Returns the engine that has the prompt, if it is among those that may receive work.
     *
     * @param usable the engines that may receive work
     */
    List<UpstreamEntry> filter(List<UpstreamEntry> usable) {
        return usable.stream()
                .filter(each -> each.incarnation().equals(mEngine.incarnation()))
                .toList();
    }

    /** Records that the run is resumed at the engine. */
    void recordResume() {
        mResumes++;
    }
}
