package org.troutpier.daemon.plain;

import org.troutpier.daemon.pace.PaceReport;

/**
 * Estimates how many times as long as others of its service an upstream takes, from this router's
 * answers and the other routers' reports. Unlike {@link org.troutpier.daemon.pace.PaceEstimate}, it
 * does not round small differences to none, since a limit follows each of them. Not thread safe;
 * confined to the traffic loop. Invariant: without new answers the estimate returns to 1, so that
 * the upstream is tried again.
 */
final class Slowdown {

    /**
     * Weight of the assumption that an upstream is as fast as the others, in answers: work varies,
     * so a single long answer must not count in full.
     */
    private static final double NORMAL_WEIGHT = 2;

    /** Time in which the weight of an answer decays to 1/e, milliseconds. */
    private static final double DECAY_MILLIS = 2000;

    /** The weight of the answers as of {@link #mUpdatedAt}. */
    private double mWeight;

    /** The weighted sum of the logarithms of their durations relative to the mean. */
    private double mLogarithms;

    private long mUpdatedAt;

    /**
     * Records an answer.
     *
     * @param ratio its duration relative to what the service's upstreams take under the same load
     */
    void record(double ratio, long now) {
        double decay = decay(now);
        mWeight = mWeight * decay + 1;
        mLogarithms = mLogarithms * decay + Math.log(ratio);
        mUpdatedAt = now;
    }

    /**
     * Returns the estimate.
     *
     * @param peers the measurements of the other routers
     */
    double slowdown(PaceReport peers, long now) {
        double decay = decay(now);
        double weight = mWeight * decay + peers.recentWeight() + peers.lastingWeight();
        double logarithms =
                mLogarithms * decay + peers.recentLogarithm() + peers.lastingLogarithm();
        return Math.exp(logarithms / (weight + NORMAL_WEIGHT));
    }

    private double decay(long now) {
        return Math.exp(-(now - mUpdatedAt) / DECAY_MILLIS);
    }
}
