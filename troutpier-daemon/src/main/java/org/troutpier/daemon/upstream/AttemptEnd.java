package org.troutpier.daemon.upstream;

import org.troutpier.common.result.ResultCode;

/**
 * The failure that ended an attempt at an upstream. Immutable and thread safe.
 *
 * @param notStarted whether it is certain that the upstream did not start the request, because
 *     nothing was sent or because the upstream said so
 * @param leaving whether the upstream announced that it is leaving, or another incarnation answered
 *     in its place
 * @param unreachable whether the upstream could not be reached or stopped responding
 * @param code the result code to report if no other attempt has a better result
 * @param detail a description of the failure
 */
public record AttemptEnd(
        boolean notStarted, boolean leaving, boolean unreachable, ResultCode code, String detail) {

    /** Creates the end of an attempt that never reached its upstream. */
    public static AttemptEnd unreached(String detail) {
        return new AttemptEnd(true, false, true, ResultCode.UPSTREAMS_REFUSED, detail);
    }

    /**
     * Creates the end of an attempt that the upstream refused without starting it.
     *
     * @param leaving whether the upstream announced that it is leaving, or another incarnation
     *     answered in its place
     * @param detail the upstream's reason
     * @return the end
     */
    public static AttemptEnd refused(boolean leaving, String detail) {
        return new AttemptEnd(true, leaving, false, ResultCode.UPSTREAMS_REFUSED, detail);
    }

    /**
     * Creates the end of an attempt whose outcome is unknown because the upstream was lost after
     * bytes had been sent.
     */
    public static AttemptEnd lost(String detail) {
        return new AttemptEnd(false, false, true, ResultCode.OUTCOME_UNKNOWN, detail);
    }

    /** Creates the end of an attempt that the upstream ran without success. */
    public static AttemptEnd failed(ResultCode code, String detail) {
        return new AttemptEnd(false, false, false, code, detail);
    }

    /** Returns whether an upstream that remains turned the request away without starting it. */
    public boolean isTurnedAway() {
        return notStarted && !leaving && !unreachable;
    }

    /** Returns whether it is certain that no byte reached the upstream. */
    public boolean neverReached() {
        return notStarted && unreachable;
    }
}
