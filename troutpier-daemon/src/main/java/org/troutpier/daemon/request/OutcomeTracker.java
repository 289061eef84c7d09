package org.troutpier.daemon.request;

import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.ResultCode.Family;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * What is known of a request's work over all its attempts, and what may therefore be said. Pure
 * decision, confined to the request's event loop. Invariants: "not run" is never said once any
 * attempt may have run; once an attempt was lost, nothing but "unknown" is said.
 */
public final class OutcomeTracker {

    /** Whether an upstream may have run any of it. */
    private boolean mMayHaveRun;

    /** What is known of the attempts that may have run: unknown as soon as one is; or null. */
    private ResultCode mKnownCode;

    /**
     * Takes note of an attempt's end.
     *
     * @param end how the attempt ended
     */
    public void recordAttemptEnd(AttemptEnd end) {
        if (end.notStarted()) {
            return;
        }
        mMayHaveRun = true;
        if (mKnownCode == null || end.code().family() == Family.OUTCOME_UNKNOWN) {
            mKnownCode = end.code();
        }
    }

    /**
     * Takes note of whether an upstream has the request just now.
     *
     * @param atUpstream whether one has it
     */
    public void recordAtUpstream(boolean atUpstream) {
        mMayHaveRun |= atUpstream;
    }

    /**
     * Returns whether an upstream may have run any of it.
     *
     * @return whether it cannot be said that it was not run
     */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /**
     * Returns the code that is true for the whole request.
     *
     * @param wished the code that fits the last step
     * @return the same, or what is known where it would say too much
     */
    public ResultCode reportableCode(ResultCode preferred) {
        boolean lost = mKnownCode != null && mKnownCode.family() == Family.OUTCOME_UNKNOWN;
        if (lost && preferred.family() != Family.OUTCOME_UNKNOWN) {
            return mKnownCode;
        }
        if (preferred.family() != Family.NOT_RUN || !mMayHaveRun) {
            return preferred;
        }
        return mKnownCode == null ? ResultCode.OUTCOME_UNKNOWN : mKnownCode;
    }
}
