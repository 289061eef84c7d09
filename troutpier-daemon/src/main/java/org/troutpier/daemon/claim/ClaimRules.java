package org.troutpier.daemon.claim;

import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.AnswerCommit;

/**
 * Decides what happens to a request whose key has already been claimed. Pure decision logic,
 * stateless and thread safe. Invariant: a request that is not repeatable is never taken over from a
 * holder that may have started it.
 */
public final class ClaimRules {

    /** Maximum assumed difference between the wall clocks of two routers. */
    public static final long CLOCK_MARGIN_MILLIS = 2000;

    private ClaimRules() {}

    /** What to do with the request. */
    public enum Decision {
        /** Return the stored answer. */
        REPLAY,
        /** Take the claim over with a higher epoch and run the request. */
        TAKE_OVER,
        /** Report that the request is running, with a time after which to retry. */
        RUNNING,
        /** Report that the holder is gone and the outcome is unknown. */
        HOLDER_GONE,
        /** Report how the request ended. */
        REPORT_END,
        /** Report that the key was used for another request. */
        KEY_REUSED
    }

    /**
     * Decides what to do with a request.
     *
     * @param row the existing claim
     * @param fingerprint hash of the new request
     * @param requestClass class of the request
     * @param holderGone whether the holder is gone for good, or is this router but no longer runs
     *     the attempt
     * @param wallMillis wall-clock time
     * @return what to do
     */
    public static Decision decide(
            ClaimRow row,
            String fingerprint,
            ClassDeclaration requestClass,
            boolean holderGone,
            long wallMillis) {
        if (!row.fingerprint().equals(fingerprint)) {
            return Decision.KEY_REUSED;
        }
        return switch (row.state()) {
            case ANSWERED -> Decision.REPLAY;
            case RELEASED -> Decision.TAKE_OVER;
            case ENDED -> requestClass.repeatable() ? Decision.TAKE_OVER : Decision.REPORT_END;
            case RUNNING -> decideRunning(row, requestClass, holderGone, wallMillis);
        };
    }

    /**
     * Decides on a claim in state {@code RUNNING}. A holder that is gone may still be sending an
     * answer. If the end mark is only sent after the answer is committed, a takeover makes that
     * commit fail, so the claim is taken over at once; otherwise the lease has to expire first.
     */
    private static Decision decideRunning(
            ClaimRow row, ClassDeclaration requestClass, boolean holderGone, long wallMillis) {
        boolean leaseExpired = wallMillis > row.leaseEndMillis() + CLOCK_MARGIN_MILLIS;
        if (!holderGone && !leaseExpired) {
            return Decision.RUNNING;
        }
        if (!requestClass.repeatable()) {
            return Decision.HOLDER_GONE;
        }
        boolean fencedByCommit = requestClass.answerCommit() == AnswerCommit.BEFORE_END_MARK;
        return fencedByCommit || leaseExpired ? Decision.TAKE_OVER : Decision.RUNNING;
    }
}
