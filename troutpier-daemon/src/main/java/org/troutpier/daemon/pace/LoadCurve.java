package org.troutpier.daemon.pace;

/**
 * The time that the upstreams of a kind take by the calls in progress there, as a line through
 * decaying sums. Not thread safe; confined to the traffic loop. Invariant: an expected time does
 * not fall with more calls.
 */
final class LoadCurve {

    /** Time in which the sums decay to 1/e, milliseconds. */
    private static final double DECAY_MILLIS = 10_000;

    /** Weight of samples from which times are expected. */
    private static final double MIN_SAMPLES = 5;

    private double mCount;

    private double mCalls;

    private double mMillis;

    private double mCallsSquared;

    private double mCallsMillis;

    /** When the last sample was added, milliseconds. */
    private long mAt;

    /**
     * Adds a sample.
     *
     * @param calls the calls in progress
     * @param millis the time taken, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    void add(double calls, double millis, long now) {
        double factor = Math.exp(-(now - mAt) / DECAY_MILLIS);
        mCount = mCount * factor + 1;
        mCalls = mCalls * factor + calls;
        mMillis = mMillis * factor + millis;
        mCallsSquared = mCallsSquared * factor + calls * calls;
        mCallsMillis = mCallsMillis * factor + calls * millis;
        mAt = now;
    }

    /**
     * Returns the time that is expected at a number of calls in progress.
     *
     * @return milliseconds; 0 for unknown
     */
    double expectedMillis(double calls) {
        if (mCount < MIN_SAMPLES) {
            return 0;
        }
        double meanCalls = mCalls / mCount;
        double meanMillis = mMillis / mCount;
        double variance = mCallsSquared / mCount - meanCalls * meanCalls;
        double covariance = mCallsMillis / mCount - meanCalls * meanMillis;
        double slope = variance > 0.01 ? Math.max(0, covariance / variance) : 0;
        // The line may fall below zero outside of the range of the samples.
        return Math.max(meanMillis / 4, meanMillis + slope * (calls - meanCalls));
    }
}
