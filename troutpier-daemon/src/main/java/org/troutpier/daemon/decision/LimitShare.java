package org.troutpier.daemon.decision;

/**
 * How much of an organisation's limit the routers that hear each other may use together. Immutable;
 * a pure decision.
 *
 * <p>It answers routers that are cut off or have just started. Those that hear all others use the
 * whole limit. A group that hears a part of them uses that part of the limit and of what may be
 * used beyond it, so the groups together keep to the bound without a word between them. What was
 * used before routers started, and nobody remembers, counts as used.
 *
 * @param limit what may be used in a window, over all routers
 * @param tolerance what may be used beyond it while routers do not hear each other
 * @param reachableRouters how many routers hear each other, this one included
 * @param knownRouters how many routers there may be
 * @param assumedUsage what may have been used in the window that nobody remembers
 */
public record LimitShare(
        double limit,
        double tolerance,
        int reachableRouters,
        int knownRouters,
        double assumedUsage) {

    /**
     * Which part of the tolerance is used: the rest is for what is under way between routers that
     * do hear each other, and for use before a start that was less even than it is taken to be.
     */
    private static final double USED_TOLERANCE = 0.25;

    /**
     * Returns how much may be used in a window.
     *
     * @return use in the limit's unit, at most the limit
     */
    public double allowed() {
        double part =
                reachableRouters / (double) Math.max(1, Math.max(reachableRouters, knownRouters));
        double reached = part * (limit + USED_TOLERANCE * tolerance);
        return Math.max(0, Math.min(limit, reached - assumedUsage));
    }
}
