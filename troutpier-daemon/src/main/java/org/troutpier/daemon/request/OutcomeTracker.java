package org.troutpier.daemon.request;

import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.ResultCode.Family;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Tracks over all attempts of a request whether it may have run, and restricts the reported result
 * code accordingly. Pure decision logic, confined to the event loop of the request. Invariants:
 * "not run" is never reported once any attempt may have run; once an attempt was lost, only
 * "unknown" is reported.
 */
public final class OutcomeTracker {

    /** Whether an upstream may have run any part of the request. */
    private boolean mMayHaveRun;

    /**
     * Result of the attempts that may have run: an unknown outcome once any of them has one; null
     * if there is none.
     */
    private ResultCode mKnownCode;

    /** Records the end of an attempt. */
    public void recordAttemptEnd(AttemptEnd end) {
        if (end.notStarted()) {
            return;
        }
        mMayHaveRun = true;
        if (mKnownCode == null || end.code().family() == Family.OUTCOME_UNKNOWN) {
            mKnownCode = end.code();
        }
    }

    /** Records whether an upstream currently has the request. Once set, this is never reset. */
    public void recordAtUpstream(boolean atUpstream) {
        mMayHaveRun |= atUpstream;
    }

    /** Returns whether an upstream may have run any part of the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /**
     * Returns the result code to report for the request.
     *
     * @param preferred code of the last step
     * @return the same code, or a more cautious one if the attempts do not prove it
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
