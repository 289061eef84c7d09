package org.troutpier.daemon.limit;

import java.util.random.RandomGenerator;

/**
 * How much more of a limit may be used, by what this router used and what the others reported.
 * Immutable; a pure decision but for the draw.
 *
 * <p>All routers see the same room until they hear of each other's use, so where more is asked in
 * that time than there is room for, each admits by chance as much as makes that room in the sum.
 *
 * @param here what was used here
 * @param elsewhere what was used at the others
 * @param most what may be used in the window
 * @param mostPaced what may be used in the window's newest {@link UseSettings#PACE_PART}
 * @param paceMillis how long that part is, milliseconds
 */
public record SharedRoom(
        RecentUse here, RecentUse elsewhere, double most, double mostPaced, double paceMillis) {

    /**
     * How stale a view of the others is, milliseconds: their report, two relays and the question,
     * of which each takes up to a pause between two reports.
     */
    private static final double STALE_MILLIS = 200;

    /**
     * Returns what may still be used.
     *
     * @return use in the limit's unit; not above 0 where nothing may
     */
    public double left() {
        return Math.min(
                most - here.window() - elsewhere.window(),
                mostPaced - here.pace() - elsewhere.pace());
    }

    /**
     * Returns whether a request fits. One that fits only in part is admitted by chance, since a
     * router that is alone may use less than one request in a window; of many that ask, one.
     *
     * @param cost what the request uses
     * @param random draws
     * @return whether it is admitted
     */
    public boolean fits(double cost, RandomGenerator random) {
        double left = left();
        double asked = here.asked() + (double) elsewhere.asked();
        double unreported = asked / paceMillis * STALE_MILLIS;
        double wanted = Math.max(cost, cost <= left ? unreported : asked);
        return wanted <= left || random.nextDouble() * wanted < left;
    }
}
