package org.troutpier.daemon.serving;

import java.util.List;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Which decode engine still has the prompt of a run whose answer was lost. An engine keeps what it
 * fetched until it needs the room, the parts used last the longest, so the run goes on there
 * without reading the prompt again. Confined to the traffic loop. Invariant: a request is sent
 * again to the engine that lost its answer at most {@link #MAX_RESUMES} times in all.
 */
final class ResumeTarget {

    /**
     * How often a request is sent again to an engine that lost its answer: an engine that loses two
     * of five loses three in a row once in sixteen times.
     */
    static final int MAX_RESUMES = 2;

    /** The engine that has the prompt, or null. */
    private UpstreamEntry mEngine;

    /** How often the request was sent again to the engine that lost its answer. */
    private int mResumes;

    /**
     * Takes note of a run that failed.
     *
     * @param engine where it was
     * @param end how it ended
     * @return whether the run may go on there: its connection was lost and nothing says that the
     *     engine is gone. An engine that was merely silent may never have fetched the prompt
     */
    boolean recordLoss(UpstreamEntry engine, AttemptEnd end) {
        boolean answerLost = !end.notStarted() && end.unreachable();
        mEngine = answerLost && mResumes < MAX_RESUMES ? engine : null;
        return mEngine != null;
    }

    /**
     * Returns the engine that has the prompt.
     *
     * @param usable the engines that may get work
     * @return the engine, if it is one of them
     */
    List<UpstreamEntry> filter(List<UpstreamEntry> usable) {
        return usable.stream()
                .filter(each -> each.incarnation().equals(mEngine.incarnation()))
                .toList();
    }

    /** Records that the run goes on there. */
    void recordResume() {
        mResumes++;
    }
}
