package org.troutpier.daemon.claim;

import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.AnswerCommit;

/**
 * What to do when a key comes again. Pure decision, stateless and thread safe. Invariant: a request
 * that must not be repeated is never taken over from a holder that may have started it.
 */
public final class ClaimRules {

    /** How far wall clocks are taken to differ at most, milliseconds. */
    public static final long CLOCK_MARGIN_MILLIS = 2000;

    /** Not to be instantiated. */
    private ClaimRules() {}

    /** What to do. */
    public enum Decision {
        /** Give the kept answer. */
        REPLAY,
        /** Take the request over with a higher epoch. */
        TAKE_OVER,
        /** Say that it runs, and when to come back. */
        RUNNING,
        /** Say that its holder is gone and nothing is known. */
        HOLDER_GONE,
        /** Say how it ended. */
        REPORT_END,
        /** Say that the key was used for another request. */
        KEY_REUSED
    }

    /**
     * Decides.
     *
     * @param row the claim as it stands
     * @param fingerprint the hash of the request that comes now
     * @param declared its class
     * @param holderGone whether the holder is gone for good, or is this router and lost it
     * @param wallMillis the wall clock
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
     * Decides on a claim that says it runs.
     *
     * @param row the claim as it stands
     * @param declared its class
     * @param holderGone whether the holder is gone for good
     * @param wallMillis the wall clock
     * @return what to do
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
