package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What was used and asked of a limit lately, in its unit. Immutable and thread safe.
 *
 * @param window in the whole window of limits
 * @param pace in the newest {@link UsageSettings#PACE_FRACTION} of it
 * @param asked what was asked in that part, admitted or not
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RecentUsage(long window, long pace, long asked) {

    /** No use. */
    public static final RecentUsage NONE = new RecentUsage(0, 0, 0);

    /**
     * Returns this use and another together.
     *
     * @param other the other
     * @return the sum
     */
    public RecentUsage plus(RecentUsage other) {
        return new RecentUsage(window + other.window, pace + other.pace, asked + other.asked);
    }

    /**
     * Returns what of this use still counts after some time without any more.
     *
     * @param passed the time, as a part of the window
     * @return what is left, where it was even
     */
    public RecentUsage after(double passed) {
        double leftOfPace = Math.max(0, 1 - passed / UsageSettings.PACE_FRACTION);
        return new RecentUsage(
                Math.round(window * Math.max(0, 1 - passed)),
                Math.round(pace * leftOfPace),
                Math.round(asked * leftOfPace));
    }
}
