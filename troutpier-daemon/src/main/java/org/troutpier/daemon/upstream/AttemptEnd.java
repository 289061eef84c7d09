package org.troutpier.daemon.upstream;

import org.troutpier.common.result.ResultCode;

/**
 * How an attempt at an upstream ended other than well. Immutable and thread safe.
 *
 * @param notStarted whether it is proved that the upstream did not start: nothing was sent, or the
 *     upstream said so
 * @param leaving whether the upstream said that it is leaving
 * @param unreachable whether the upstream could not be reached or fell silent
 * @param code the result code if nothing better comes of the request
 * @param detail what exactly happened
 */
public record AttemptEnd(
        boolean notStarted, boolean leaving, boolean unreachable, ResultCode code, String detail) {

    /**
     * Makes the end of an attempt that never reached its upstream.
     *
     * @param detail what happened
     * @return the end
     */
    public static AttemptEnd unreached(String detail) {
        return new AttemptEnd(true, false, true, ResultCode.UPSTREAMS_REFUSED, detail);
    }

    /**
     * Makes the end of an attempt that the upstream refused as not started.
     *
     * @param leaving whether it said that it is leaving
     * @param detail what it said
     * @return the end
     */
    public static AttemptEnd refused(boolean leaving, String detail) {
        return new AttemptEnd(true, leaving, false, ResultCode.UPSTREAMS_REFUSED, detail);
    }

    /**
     * Makes the end of an attempt of which nothing is known after bytes had left.
     *
     * @param detail what happened
     * @return the end
     */
    public static AttemptEnd lost(String detail) {
        return new AttemptEnd(false, false, true, ResultCode.OUTCOME_UNKNOWN, detail);
    }

    /**
     * Makes the end of an attempt that the upstream ran without success.
     *
     * @param code what went wrong
     * @param detail what exactly
     * @return the end
     */
    public static AttemptEnd failed(ResultCode code, String detail) {
        return new AttemptEnd(false, false, false, code, detail);
    }

    /**
     * Returns whether it is proved that no byte reached the upstream.
     *
     * @return whether the upstream knows nothing of the attempt
     */
    public boolean neverReached() {
        return notStarted && unreachable;
    }
}
