package org.troutpier.daemon.limit;

import java.util.random.RandomGenerator;

/**
 * How much more of a limit may be used, by what this router used and what the others reported.
 * Immutable; a pure decision but for the draw.
 *
 * <p>All routers see the same room until they hear of each other's use, so where more is asked in
 * that time than there is room for, each admits by chance as much as makes that room in the sum.
 *
 * @param local what was used here
 * @param remote what was used at the others
 * @param allowed what may be used in the window
 * @param allowedPaced what may be used in the window's newest {@link UsageSettings#PACE_FRACTION}
 * @param paceMillis how long that part is, milliseconds
 */
public record LimitHeadroom(
        RecentUsage local,
        RecentUsage remote,
        double allowed,
        double allowedPaced,
        double paceMillis) {

    /**
     * How stale a view of the others is, milliseconds: their report, two relays and the question,
     * of which each takes up to a pause between two reports.
     */
    private static final double STALE_MILLIS = 200;

    /**
     * For how long room is left to what is more urgent, milliseconds: more than views are stale, as
     * it comes in whole requests.
     */
    private static final double RESERVED_MILLIS = 400;

    /**
     * Returns what may still be used.
     *
     * @return use in the limit's unit; not above 0 where nothing may
     */
    public double remaining() {
        return Math.min(
                allowed - local.window() - remote.window(),
                allowedPaced - local.pace() - remote.pace());
    }

    /**
     * Returns whether a request fits. One that fits only in part is admitted by chance, since a
     * router that is alone may use less than one request in a window; of many that ask, one.
     *
     * @param cost what the request uses
     * @param random draws
     * @return whether it is admitted
     */
    public boolean admits(double cost, RandomGenerator random) {
        double chance = admissionProbability(cost, 0, local.asked() + (double) remote.asked());
        return chance >= 1 || random.nextDouble() < chance;
    }

    /**
     * Returns with what chance a request is admitted, after what is more urgent.
     *
     * @param cost what the request uses
     * @param ahead what was asked in the newest part of the window that goes before it
     * @param asked what was asked in that part that goes with it, itself included
     * @return the chance; 0 or less for none, 1 or more where it fits
     */
    public double admissionProbability(double cost, double ahead, double asked) {
        double room = remaining() - ahead * RESERVED_MILLIS / paceMillis;
        double part = cost <= room ? STALE_MILLIS / paceMillis : 1;
        double wanted = Math.max(cost, asked * part);
        if (wanted <= 0) {
            return room < 0 ? 0 : 1;
        }
        return room / wanted;
    }
}
