package org.troutpier.daemon.serving;

/**
 * Which part of an upstream's last answers was lost: a moving mean that fades, so that an upstream
 * which is spared is tried again. Confined to the traffic loop. Invariant: between 0 and 1.
 */
final class LossRate {

    /**
     * How much one answer counts against those before it. Sound upstreams lose next to none, so one
     * loss says much; a router alone sees an engine's answers only every few seconds.
     */
    static final double WEIGHT = 0.25;

    /** In what time the rate halves without answers, milliseconds: upstreams fail for seconds. */
    static final double HALF_MILLIS = 3000;

    /** The rate at the time of the last answer. */
    private double mRate;

    /** When that was, milliseconds. */
    private long mAt;

    /**
     * Takes note of an answer.
     *
     * @param lost whether it was lost
     * @param now the clock, milliseconds
     */
    void note(boolean lost, long now) {
        double before = at(now);
        mRate = before + ((lost ? 1 : 0) - before) * WEIGHT;
        mAt = now;
    }

    /**
     * Returns the rate.
     *
     * @param now the clock, milliseconds
     * @return between 0 and 1
     */
    double at(long now) {
        return mRate == 0 ? 0 : mRate * Math.pow(2, (mAt - now) / HALF_MILLIS);
    }
}
