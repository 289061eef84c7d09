package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * The replacement of a run whose engine is silent, from the search for another engine to the first
 * event of the run there. Confined to the traffic loop. Invariants: the silent run goes on until
 * its replacement takes over; at most one of them relays events.
 */
final class RunReplacement {

    private final StreamExecution mExecution;

    private final StreamSearch mSearch;

    /** The run that may take over; null before it is sent. */
    private StreamRun mCandidate;

    /** The head of the candidate's answer, if it has come. */
    private Optional<UpstreamPort.Head> mHead = Optional.empty();

    /** Fires at the end of the overlap of both runs; null before the candidate's head. */
    private TrafficLoop.Timer mOverlapTimer;

    private boolean mActive;

    RunReplacement(StreamExecution execution, StreamSearch search) {
        mExecution = execution;
        mSearch = search;
    }

    /** Returns whether a replacement is searched or runs. */
    boolean isActive() {
        return mActive;
    }

    /** Returns whether a run is the candidate. */
    boolean isCandidate(StreamRun run) {
        return run == mCandidate;
    }

    /** Returns whether a run that may take over was sent and has not failed. */
    boolean hasCandidate() {
        return mCandidate != null;
    }

    /** Begins to search for another engine. */
    void begin() {
        mActive = true;
        mSearch.beginAgain();
    }

    /** Records that a run was sent that may take over. */
    void setCandidate(StreamRun run) {
        mCandidate = run;
        mHead = Optional.empty();
    }

    /** Records the head of the candidate's answer, which shows that its engine runs the request. */
    void recordHead(UpstreamPort.Head head) {
        mHead = Optional.of(head);
        mOverlapTimer =
                mExecution
                        .mContext
                        .loop()
                        .schedule(
                                () -> mExecution.takeOver("head"),
                                ServingSettings.MAX_OVERLAP_MILLIS);
    }

    /** Returns whether any byte of the candidate's call may have been sent. */
    boolean isAtUpstream() {
        return mCandidate != null && mCandidate.mayHaveBeenSent();
    }

    /**
     * Ends the replacement because the candidate takes over.
     *
     * @return the candidate
     */
    Taken take() {
        Taken taken = new Taken(mCandidate, mHead);
        mCandidate = null;
        clear();
        return taken;
    }

    /**
     * A candidate that takes over. Immutable.
     *
     * @param head the head of its answer, if it has come
     */
    record Taken(StreamRun run, Optional<UpstreamPort.Head> head) {}

    /**
     * Ends the replacement, if there is one. The permit for its call is kept.
     *
     * @param reason why it ends
     */
    void end(String reason) {
        if (!mActive) {
            return;
        }
        StreamRun candidate = mCandidate;
        mCandidate = null;
        clear();
        if (candidate != null) {
            candidate.abort();
            candidate.prompt().ifPresent(mExecution.mContext.port()::discard);
            mExecution.mAttempted.giveUp(candidate.upstream());
            mExecution.recordAttemptEnd(
                    candidate.upstream(), AttemptEnd.failed(ResultCode.OUTCOME_UNKNOWN, reason));
        }
        mSearch.release();
        mExecution.trace().addStep("replacement ended(" + reason + ")");
    }

    /** Aborts the candidate because its request ends. */
    void release() {
        StreamRun candidate = mCandidate;
        mCandidate = null;
        clear();
        if (candidate != null) {
            candidate.abort();
        }
    }

    /** Records that the candidate's run has failed. */
    void dropCandidate() {
        mCandidate = null;
    }

    private void clear() {
        mActive = false;
        if (mOverlapTimer != null) {
            mOverlapTimer.cancel();
            mOverlapTimer = null;
        }
    }
}
