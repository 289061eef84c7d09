package org.troutpier.daemon.limit;

import java.util.random.RandomGenerator;

/**
 * The remaining headroom of a limit, given the usage at this router and the usage that the other
 * routers report. Immutable.
 *
 * <p>All routers see the same headroom until they learn of each other's usage. If the demand in
 * that time exceeds the headroom, each router admits requests with a probability such that the sum
 * fits.
 *
 * @param local the usage at this router
 * @param remote the usage at the other routers
 * @param allowed the usage allowed in the window
 * @param allowedPaced the usage allowed in the most recent {@link UsageSettings#PACE_FRACTION} of
 *     the window
 * @param paceMillis the length of that part of the window, milliseconds
 */
public record LimitHeadroom(
        RecentUsage local,
        RecentUsage remote,
        double allowed,
        double allowedPaced,
        double paceMillis) {

    /**
     * Maximum age of the view of other routers, milliseconds: one report, two relays and one query,
     * each of which takes up to one interval between reports.
     */
    public static final double STALE_MILLIS = 200;

    /**
     * Time for which headroom is reserved for more urgent requests, milliseconds. It exceeds the
     * age of the view, since demand arrives in whole requests.
     */
    private static final double RESERVED_MILLIS = 400;

    /** Returns the remaining usage in the unit of the limit; 0 or less if there is none. */
    public double remaining() {
        return Math.min(
                allowed - local.window() - remote.window(),
                allowedPaced - local.pace() - remote.pace());
    }

    /**
     * Decides whether a request is admitted. A request that fits only partly is admitted at random
     * such that one in all that compete is expected to be admitted; otherwise an isolated router
     * whose share is less than one request per window would admit none.
     *
     * @param cost the usage of the request
     * @param random the source of randomness
     */
    public boolean admits(double cost, RandomGenerator random) {
        double probability = admissionProbability(cost, 0, local.asked() + (double) remote.asked());
        return probability >= 1 || random.nextDouble() < probability;
    }

    /**
     * Returns the probability with which a request is admitted after more urgent ones.
     *
     * @param cost the usage of the request
     * @param ahead the more urgent demand in the most recent part of the window
     * @param asked the demand of the same urgency in that part, this request included
     * @return the probability; 0 or less if the request is not admitted, 1 or more if it fits
     */
    public double admissionProbability(double cost, double ahead, double asked) {
        double headroom = remaining() - ahead * RESERVED_MILLIS / paceMillis;
        double fraction = cost <= headroom ? STALE_MILLIS / paceMillis : 1;
        double demand = Math.max(cost, asked * fraction);
        if (demand <= 0) {
            return headroom < 0 ? 0 : 1;
        }
        return headroom / demand;
    }
}
