package org.troutpier.daemon.limit;

import org.troutpier.common.settings.Check;

/**
 * How strictly a limit is kept over all routers. Immutable and thread safe.
 *
 * @param windowSeconds over which time use is summed up, seconds
 * @param overage which part of a limit may be used beyond it while routers do not hear each other
 * @param slack what may be used beyond that, in the unit of a limit
 */
public record UsageSettings(double windowSeconds, double overage, double slack) {

    /** What holds where nothing is set. */
    public static final UsageSettings DEFAULT = new UsageSettings(10, 0.1, 0);

    /**
     * Over which part of the window use is paced: what may be used in it is the rate's and the
     * burst, as over the whole window. Without it, a flood used a window's limit in a moment, and
     * routers that started after a loss of power took for even use what was not.
     */
    public static final double PACE_FRACTION = 0.25;

    /** The longest window, seconds. */
    private static final double MOST_SECONDS = 3600;

    /** How many milliseconds a second has. */
    private static final double MILLIS = 1000;

    /** Checks the fields. */
    public UsageSettings {
        Check.that(
                "windowSeconds",
                windowSeconds > 0 && windowSeconds <= MOST_SECONDS,
                "must be above 0 and at most " + MOST_SECONDS + " but is " + windowSeconds);
        Check.that("overage", overage >= 0, "must not be negative but is " + overage);
        Check.that("slack", slack >= 0, "must not be negative but is " + slack);
    }

    /**
     * Returns the window.
     *
     * @return milliseconds
     */
    public long windowMillis() {
        return Math.max(1, Math.round(windowSeconds * MILLIS));
    }

    /**
     * Returns over which time use is paced.
     *
     * @return seconds
     */
    public double paceSeconds() {
        return windowSeconds * PACE_FRACTION;
    }

    /**
     * Returns what may be used beyond a limit while routers do not hear each other.
     *
     * @param limit what may be used in a window
     * @return use in the limit's unit
     */
    public double tolerance(double limit) {
        return limit * overage + slack;
    }
}
