package org.troutpier.daemon.decision;

/**
 * Predicts a delay from those that were seen, as a decaying mean and the mean distance from it.
 * Confined to the traffic loop.
 */
public final class LatencyEstimator {

    /** How much a new measurement counts. */
    private static final double NEW = 0.1;

    /** How many mean distances above the mean are predicted: about one in twenty takes longer. */
    private static final double DISTANCES = 2;

    /**
     * How long a run is taken to need to its first event before any was seen, milliseconds: twice
     * what engines with little to do took (25 to 35, from the lines of a day).
     */
    private static final double FIRST_EVENT_MILLIS = 60;

    /** The mean, milliseconds. */
    private double mMean;

    /** The mean distance from the mean, milliseconds. */
    private double mDistance;

    /**
     * Creates an estimate.
     *
     * @param assumedMillis what is predicted before anything was measured, milliseconds
     */
    LatencyEstimator(double assumedMillis) {
        mMean = assumedMillis / 2;
        mDistance = assumedMillis / 2 / DISTANCES;
    }

    /**
     * Makes the estimate of the time from a run's call to its first event.
     *
     * @return a new estimate
     */
    public static LatencyEstimator forFirstEvent() {
        return new LatencyEstimator(FIRST_EVENT_MILLIS);
    }

    /**
     * Makes the estimate of how much longer than predicted readings take.
     *
     * @return a new estimate
     */
    public static LatencyEstimator forPrefillExcess() {
        return new LatencyEstimator(0);
    }

    /**
     * Takes a measurement.
     *
     * @param millis the delay; may be negative for one that is counted from a prediction
     */
    public void record(double millis) {
        mDistance += NEW * (Math.abs(millis - mMean) - mDistance);
        mMean += NEW * (millis - mMean);
    }

    /**
     * Predicts.
     *
     * @return milliseconds, at least 0
     */
    public double predictedMillis() {
        return Math.max(0, mMean + DISTANCES * mDistance);
    }
}
