package org.troutpier.daemon.pace;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Measurements of how long an upstream takes, as decaying sums that can be added over routers.
 * Immutable and thread safe. Invariant: the weights are not negative, and no component is infinite
 * or undefined.
 *
 * @param recentWeight the weight of the measurements of the last fraction of a second
 * @param recentLogarithm the sum of the weighted logarithms of the measured over the expected time
 * @param lastingWeight the weight of the measurements of the last seconds
 * @param lastingLogarithm the sum of the weighted logarithms of these
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PaceReport(
        double recentWeight,
        double recentLogarithm,
        double lastingWeight,
        double lastingLogarithm) {

    /** No measurement. */
    public static final PaceReport NONE = new PaceReport(0, 0, 0, 0);

    /** Time in which the recent sums decay to 1/e, milliseconds. */
    static final double RECENT_DECAY_MILLIS = 300;

    /** Time in which the lasting sums decay to 1/e, milliseconds. */
    static final double LASTING_DECAY_MILLIS = 1500;

    /**
     * The largest ratio of a measured to an expected time that counts, and the inverse of the
     * smallest.
     */
    static final double MAX_RATIO = 8;

    /**
     * The largest weight of one router's measurements of an upstream. A single router that reports
     * wrong ratios is outweighed by three others.
     */
    static final double MAX_ROUTER_WEIGHT = 4;

    private static final double MAX_LOGARITHM = Math.log(MAX_RATIO);

    /** Replaces undefined components by those of {@link #NONE}. */
    public PaceReport {
        boolean valid =
                Double.isFinite(recentLogarithm)
                        && Double.isFinite(lastingLogarithm)
                        && Double.isFinite(recentWeight)
                        && Double.isFinite(lastingWeight)
                        && recentWeight >= 0
                        && lastingWeight >= 0;
        if (!valid) {
            recentWeight = 0;
            recentLogarithm = 0;
            lastingWeight = 0;
            lastingLogarithm = 0;
        }
    }

    /**
     * Returns the report of one measurement. It is weighted by the time that it took, since a slow
     * upstream answers fewer calls.
     *
     * @param ratio the measured over the expected time
     * @param weight the weight of a measurement that took the expected time
     */
    static PaceReport of(double ratio, double weight) {
        double bounded = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
        double counted = weight * Math.max(1, bounded);
        double logarithm = counted * Math.log(bounded);
        return new PaceReport(counted, logarithm, counted, logarithm);
    }

    /** Returns this report without its recent sums. */
    PaceReport withoutRecent() {
        return new PaceReport(0, 0, lastingWeight, lastingLogarithm);
    }

    /** Returns the sum of this report and another. */
    public PaceReport plus(PaceReport other) {
        return new PaceReport(
                recentWeight + other.recentWeight,
                recentLogarithm + other.recentLogarithm,
                lastingWeight + other.lastingWeight,
                lastingLogarithm + other.lastingLogarithm);
    }

    /** Returns this report without the measurements of another that it includes. */
    PaceReport minus(PaceReport other) {
        return new PaceReport(
                Math.max(0, recentWeight - other.recentWeight),
                recentLogarithm - other.recentLogarithm,
                Math.max(0, lastingWeight - other.lastingWeight),
                lastingLogarithm - other.lastingLogarithm);
    }

    /**
     * Returns this report decayed by a time without measurements.
     *
     * @param millis the time, milliseconds
     */
    public PaceReport aged(long millis) {
        if (millis <= 0) {
            return this;
        }
        double recent = Math.exp(-millis / RECENT_DECAY_MILLIS);
        double lasting = Math.exp(-millis / LASTING_DECAY_MILLIS);
        return new PaceReport(
                recentWeight * recent,
                recentLogarithm * recent,
                lastingWeight * lasting,
                lastingLogarithm * lasting);
    }

    /**
     * Returns this report with the weight and the ratios that the given number of routers can have
     * measured.
     *
     * @param routers how many routers the report covers
     */
    public PaceReport bounded(int routers) {
        double maxWeight = MAX_ROUTER_WEIGHT * Math.max(1, routers);
        double recent = Math.min(maxWeight, recentWeight);
        double lasting = Math.min(maxWeight, lastingWeight);
        return new PaceReport(
                recent,
                recent * meanLogarithm(recentLogarithm, recentWeight),
                lasting,
                lasting * meanLogarithm(lastingLogarithm, lastingWeight));
    }

    /**
     * Returns this report relative to the mean of other measurements. The recent weight is kept,
     * since it also shows that the upstream answers.
     *
     * @param others the measurements of the router's other upstreams of the same kind
     */
    PaceReport relativeTo(PaceReport others) {
        double certainty = others.lastingWeight / (others.lastingWeight + 1);
        double mean = others.meanLogarithm();
        return new PaceReport(
                recentWeight,
                (recentLogarithm - recentWeight * mean) * certainty,
                lastingWeight * certainty,
                (lastingLogarithm - lastingWeight * mean) * certainty);
    }

    /** Returns the mean logarithm of the ratios on the longer time scale; 0 without any. */
    double meanLogarithm() {
        return meanLogarithm(lastingLogarithm, lastingWeight);
    }

    private static double meanLogarithm(double ratio, double weight) {
        return weight <= 0 ? 0 : Math.max(-MAX_LOGARITHM, Math.min(MAX_LOGARITHM, ratio / weight));
    }
}
