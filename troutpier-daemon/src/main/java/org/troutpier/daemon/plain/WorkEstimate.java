package org.troutpier.daemon.plain;

/**
 * Estimates how long an upstream of a service works on one call, without the time that the call
 * waits for a slot. Not thread safe; confined to the traffic loop. Invariant: only successful
 * answers are recorded, since a failure may come before any work is done.
 */
final class WorkEstimate {

    /** Weight of a new measurement. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * Multiple of the mean work within which about nine calls in ten end. Work varies, so a mean
     * alone would make half of the predictions too short.
     */
    private static final double LONG_WORK_FACTOR = 1.5;

    /** The mean, milliseconds; 0 before the first measurement. */
    private double mMeanMillis;

    /**
     * Records a successful answer.
     *
     * @param millis the duration of the call
     * @param slots the slots of the upstream
     * @param calls the calls known there when it was sent, itself included
     */
    void record(long millis, int slots, int calls) {
        double work = Math.max(1, millis) / callsPerSlot(slots, calls);
        mMeanMillis =
                mMeanMillis == 0 ? work : mMeanMillis + SMOOTHING_FACTOR * (work - mMeanMillis);
    }

    /** Returns whether any answer was recorded. */
    boolean known() {
        return mMeanMillis > 0;
    }

    /** Returns the mean work of a call, milliseconds. */
    double meanMillis() {
        return mMeanMillis;
    }

    /**
     * Predicts the duration of a call.
     *
     * @param slots the slots of the upstream
     * @param calls the calls there, the new one included
     * @param slowdown how many times as long as others the upstream takes
     * @return milliseconds; 0 before the first measurement
     */
    double answerMillis(int slots, double calls, double slowdown) {
        return mMeanMillis * slowdown * (LONG_WORK_FACTOR + callsPerSlot(slots, calls) - 1);
    }

    /**
     * Returns the most calls with which an upstream answers within a time.
     *
     * @param millis the time
     * @param slots the slots of the upstream
     * @param slowdown how many times as long as others the upstream takes
     * @return the number of calls, possibly less than the slots; infinite before the first
     *     measurement
     */
    double callsWithin(double millis, int slots, double slowdown) {
        double work = mMeanMillis * slowdown;
        return work == 0
                ? Double.POSITIVE_INFINITY
                : slots * (millis / work - LONG_WORK_FACTOR + 1);
    }

    private static double callsPerSlot(int slots, double calls) {
        return Math.max(1, calls / Math.max(1, slots));
    }
}
