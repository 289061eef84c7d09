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

    /** Whether the candidate's engine granted a reservation for it. */
    private boolean mReserved;

    /** Fires when the two runs have overlapped for long enough; null while they do not. */
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

    /**
     * Records that a run was sent that may take over.
     *
     * @param reserved whether its engine granted a reservation for it
     */
    void setCandidate(StreamRun run, boolean reserved) {
        mCandidate = run;
        mReserved = reserved;
        mHead = Optional.empty();
        mOverlapTimer =
                mExecution
                        .mContext
                        .loop()
                        .schedule(this::onOverlapEnd, ServingSettings.MAX_OVERLAP_MILLIS);
    }

    /** Records the head of the candidate's answer. */
    void recordHead(UpstreamPort.Head head) {
        mHead = Optional.of(head);
    }

    /**
     * Lets the candidate take over. An engine that has granted a place and has not refused the run
     * at once is running it.
     */
    private void onOverlapEnd() {
        mOverlapTimer = null;
        if (mReserved || mHead.isPresent()) {
            mExecution.takeOver("sent " + ServingSettings.MAX_OVERLAP_MILLIS + "ms ago");
        } else {
            end("not answered within " + ServingSettings.MAX_OVERLAP_MILLIS + "ms");
        }
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
     * Ends the replacement, if there is one; the silent run is kept.
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
            mExecution.recordAttemptEnd(
                    candidate.engine(), AttemptEnd.failed(ResultCode.OUTCOME_UNKNOWN, reason));
        }
        mSearch.release();
        mExecution.mArrivals.releaseReserved();
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

    /** Ends the replacement because the candidate's run has failed. */
    void endFailed(String reason) {
        mCandidate = null;
        end(reason);
    }

    private void clear() {
        mActive = false;
        if (mOverlapTimer != null) {
            mOverlapTimer.cancel();
            mOverlapTimer = null;
        }
    }
}
