package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The recent usage of and demand for a limit, in the unit of the limit. Immutable and thread safe.
 *
 * @param window the usage in the whole window of the limit
 * @param pace the usage in the most recent {@link UsageSettings#PACE_FRACTION} of the window
 * @param asked the demand in that part of the window, whether admitted or not; extrapolated to it
 *     if demand was recorded for less time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RecentUsage(long window, long pace, long asked) {

    /** No usage. */
    public static final RecentUsage NONE = new RecentUsage(0, 0, 0);

    /** Adds another usage. */
    public RecentUsage plus(RecentUsage other) {
        return new RecentUsage(window + other.window, pace + other.pace, asked + other.asked);
    }

    /**
     * Returns this usage with the demand extrapolated to the whole part of the window that it
     * describes.
     *
     * @param recorded the fraction of that part in which demand was recorded, above 0 and at most 1
     */
    public RecentUsage withDemandExtrapolated(double recorded) {
        return new RecentUsage(window, pace, Math.round(asked / recorded));
    }

    /**
     * Returns the part of this usage that still counts after a time without further usage, assuming
     * that it was evenly distributed.
     *
     * @param passed the time that has passed as a fraction of the window
     */
    public RecentUsage after(double passed) {
        double remainingPace = Math.max(0, 1 - passed / UsageSettings.PACE_FRACTION);
        return new RecentUsage(
                Math.round(window * Math.max(0, 1 - passed)),
                Math.round(pace * remainingPace),
                Math.round(asked * remainingPace));
    }
}
