package org.troutpier.daemon.decision;

/**
 * Predicts a latency from past measurements by an exponentially weighted mean and mean deviation.
 * Not thread safe; confined to the traffic loop.
 */
public final class LatencyEstimator {

    /** Weight of a new measurement. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * Number of mean deviations above the mean that are predicted; about one measurement in twenty
     * is longer.
     */
    private static final double DEVIATIONS = 2;

    /**
     * Time to a run's first event that is assumed before any measurement, milliseconds. Lightly
     * loaded engines take 25 to 35 ms; twice that is assumed.
     */
    private static final double INITIAL_FIRST_EVENT_MILLIS = 60;

    private double mMeanMillis;

    private double mDeviationMillis;

    /**
     * Creates an estimator.
     *
     * @param assumedMillis the prediction before the first measurement, milliseconds
     */
    LatencyEstimator(double assumedMillis) {
        mMeanMillis = assumedMillis / 2;
        mDeviationMillis = assumedMillis / 2 / DEVIATIONS;
    }

    /** Creates an estimator of the time from the start of a run's call to its first event. */
    public static LatencyEstimator forFirstEvent() {
        return new LatencyEstimator(INITIAL_FIRST_EVENT_MILLIS);
    }

    /** Creates an estimator of the time by which prefills exceed their predicted duration. */
    public static LatencyEstimator forPrefillExcess() {
        return new LatencyEstimator(0);
    }

    /**
     * Records a measurement.
     *
     * @param millis the latency; negative where it is measured relative to a prediction and the
     *     prediction was too long
     */
    public void record(double millis) {
        mDeviationMillis += SMOOTHING_FACTOR * (Math.abs(millis - mMeanMillis) - mDeviationMillis);
        mMeanMillis += SMOOTHING_FACTOR * (millis - mMeanMillis);
    }

    /** Returns the predicted latency in milliseconds, at least 0. */
    public double predictedMillis() {
        return Math.max(0, mMeanMillis + DEVIATIONS * mDeviationMillis);
    }
}
