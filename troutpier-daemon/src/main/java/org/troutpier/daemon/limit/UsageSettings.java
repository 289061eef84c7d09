package org.troutpier.daemon.limit;

import org.troutpier.common.settings.Check;

/**
 * Settings for the enforcement of limits over all routers. Immutable and thread safe.
 *
 * @param windowSeconds the length of the window over which usage is summed, seconds
 * @param overage the fraction of a limit by which usage may exceed it while routers are
 *     disconnected
 * @param slack the usage allowed beyond the overage, in the unit of the limit
 */
public record UsageSettings(double windowSeconds, double overage, double slack) {

    /** The default settings. */
    public static final UsageSettings DEFAULT = new UsageSettings(10, 0.1, 0);

    /**
     * Fraction of the window over which usage is paced: it allows the rate over that time and the
     * burst, as the whole window does. Without pacing, a flood uses up the limit of a window at
     * once, and routers that start after a power loss assume such usage to be evenly distributed.
     */
    public static final double PACE_FRACTION = 0.25;

    private static final double MAX_WINDOW_SECONDS = 3600;

    private static final double MILLIS_PER_SECOND = 1000;

    /** Validates the settings. */
    public UsageSettings {
        Check.that(
                "windowSeconds",
                windowSeconds > 0 && windowSeconds <= MAX_WINDOW_SECONDS,
                "must be above 0 and at most " + MAX_WINDOW_SECONDS + " but is " + windowSeconds);
        Check.that("overage", overage >= 0, "must not be negative but is " + overage);
        Check.that("slack", slack >= 0, "must not be negative but is " + slack);
    }

    /** Returns the length of the window in milliseconds. */
    public long windowMillis() {
        return Math.max(1, Math.round(windowSeconds * MILLIS_PER_SECOND));
    }

    /** Returns the time over which usage is paced, in seconds. */
    public double paceSeconds() {
        return windowSeconds * PACE_FRACTION;
    }

    /**
     * Returns the amount by which usage may exceed a limit while routers are disconnected.
     *
     * @param limit the limit per window
     * @return the tolerance in the unit of the limit
     */
    public double tolerance(double limit) {
        return limit * overage + slack;
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public String toString() {
        return "UsageSettings[windowSeconds="
                + windowSeconds
                + ", overage="
                + overage
                + ", slack="
                + slack
                + ']';
    }
}
