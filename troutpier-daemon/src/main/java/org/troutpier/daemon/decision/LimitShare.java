package org.troutpier.daemon.decision;

/**
 * The part of an organisation's limit that a group of connected routers may use together.
 * Immutable.
 *
 * <p>Routers that reach all others use the whole limit. In a network partition, a group uses the
 * fraction of the limit and of its tolerance that corresponds to its size, so the groups together
 * stay within the bound without communicating. Usage before the start of routers that no other
 * router has a record of counts as used.
 *
 * @param limit the limit per window, over all routers
 * @param tolerance the amount by which the limit may be exceeded while routers are disconnected
 * @param reachableRouters the number of routers in the group, this one included
 * @param knownRouters the number of routers that may exist
 * @param assumedUsage the usage in the window that is assumed because no router has a record of it
 */
public record LimitShare(
        double limit,
        double tolerance,
        int reachableRouters,
        int knownRouters,
        double assumedUsage) {

    /**
     * Fraction of the tolerance that is used. The rest covers usage that connected routers have not
     * reported to each other yet, and usage before a start that was less even than assumed.
     */
    private static final double USED_TOLERANCE = 0.25;

    /** Returns the usage allowed per window in the unit of the limit, at most the limit. */
    public double allowed() {
        double fraction =
                reachableRouters / (double) Math.max(1, Math.max(reachableRouters, knownRouters));
        double share = fraction * (limit + USED_TOLERANCE * tolerance);
        return Math.max(0, Math.min(limit, share - assumedUsage));
    }
}
