package org.troutpier.daemon.pace;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Measurements of how long an upstream takes, as sums that can be added over routers. Immutable and
 * thread safe.
 *
 * @param recentWeight the weight of the measurements of the last fraction of a second
 * @param recentRatio the sum of the weighted logarithms of the measured over the expected time
 * @param lastingWeight the weight of the measurements of the last seconds
 * @param lastingRatio their sum of weighted logarithms
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PaceReport(
        double recentWeight, double recentRatio, double lastingWeight, double lastingRatio) {

    /** No measurement. */
    public static final PaceReport NONE = new PaceReport(0, 0, 0, 0);

    /** Returns the sum of this report and another. */
    public PaceReport plus(PaceReport other) {
        return new PaceReport(
                recentWeight + other.recentWeight,
                recentRatio + other.recentRatio,
                lastingWeight + other.lastingWeight,
                lastingRatio + other.lastingRatio);
    }
}
