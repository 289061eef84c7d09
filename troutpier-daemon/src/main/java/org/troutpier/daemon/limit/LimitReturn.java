package org.troutpier.daemon.limit;

import java.util.random.RandomGenerator;

/**
 * Decides when the caller of a request that was refused for a usage limit should return. Immutable.
 *
 * <p>Intended for floods of a few seconds beyond the limit: headroom that becomes free during one
 * is taken by requests that arrive, so callers that return by then are refused again, which is
 * worse for them than a later return.
 *
 * @param headroom the headroom at the refusal
 * @param ratePerMilli the rate of the limit, in its unit per millisecond
 */
public record LimitReturn(LimitHeadroom headroom, double ratePerMilli) {

    /** Fraction of the rate that is left to returning requests once a flood has ended. */
    private static final double RETURNING_FRACTION = 0.5;

    /**
     * Returns the time until the request is expected to be admitted, milliseconds. In a flood the
     * returns are spread over the second half of the time in which its excess can be admitted.
     *
     * @param cost the usage of the request
     * @param random the source of randomness
     */
    public double millis(double cost, RandomGenerator random) {
        double own = (cost - headroom.remaining()) / ratePerMilli;
        double flood = excessDemand() / (ratePerMilli * RETURNING_FRACTION);
        return Math.max(own, flood * (1 + random.nextDouble()) / 2);
    }

    /** Returns the recent demand beyond what is allowed in that time; 0 if there is none. */
    private double excessDemand() {
        double asked = (double) headroom.local().asked() + headroom.remote().asked();
        return Math.max(0, asked - headroom.allowedPaced());
    }
}
