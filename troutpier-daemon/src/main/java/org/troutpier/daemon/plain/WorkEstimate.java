package org.troutpier.daemon.plain;

/**
 * Estimates how long an upstream of a service works on one call, without the time that the call
 * waits for a slot. Not thread safe; confined to the traffic loop. Invariant: only successful
 * answers are recorded, since a failure may come before any work is done.
 */
final class WorkEstimate {

    /** Lowest weight of a new measurement. The first ones are averaged. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * Multiple of the mean work within which about nine calls in ten end. Work varies, so a mean
     * alone would make half of the predictions too short.
     */
    private static final double LONG_WORK_FACTOR = 1.5;

    /**
     * Longest work that counts in full, in multiples of the mean, so that one slow upstream does
     * not make the estimate of all others too long.
     */
    private static final double MAX_RATIO = 2;

    /** Measurements before which nothing is predicted; a single one may be far off. */
    private static final int MIN_ANSWERS = 5;

    /** The mean, milliseconds; 0 before the first measurement. */
    private double mMeanMillis;

    private int mAnswers;

    /**
     * Records a successful answer.
     *
     * @param millis the duration of the call
     * @param slots the slots of the upstream
     * @param calls the calls known there when it was sent, itself included
     * @return the work relative to the mean before
     */
    double record(long millis, int slots, int calls) {
        double work = Math.max(1, millis) / callsPerSlot(slots, calls);
        mAnswers = Math.min(MIN_ANSWERS, mAnswers + 1);
        if (mMeanMillis == 0) {
            mMeanMillis = work;
            return 1;
        }
        double ratio = work / mMeanMillis;
        double weight = known() ? SMOOTHING_FACTOR : 1.0 / mAnswers;
        mMeanMillis *= 1 + weight * (Math.min(MAX_RATIO, ratio) - 1);
        return ratio;
    }

    /** Returns whether enough answers were recorded. */
    boolean known() {
        return mAnswers >= MIN_ANSWERS;
    }

    /** Returns the mean work of a call, milliseconds; 0 while it is not known. */
    double meanMillis() {
        return known() ? mMeanMillis : 0;
    }

    /**
     * Predicts the duration of a call.
     *
     * @param slots the slots of the upstream
     * @param calls the calls there, the new one included
     * @param slowdown how many times as long as others the upstream takes
     * @return milliseconds; 0 while the work is not known
     */
    double answerMillis(int slots, double calls, double slowdown) {
        return meanMillis() * slowdown * (LONG_WORK_FACTOR + callsPerSlot(slots, calls) - 1);
    }

    /**
     * Returns the most calls with which an upstream answers within a time.
     *
     * @param millis the time
     * @param slots the slots of the upstream
     * @param slowdown how many times as long as others the upstream takes
     * @return the number of calls, possibly less than the slots; infinite while the work is not
     *     known
     */
    double callsWithin(double millis, int slots, double slowdown) {
        double work = meanMillis() * slowdown;
        return work == 0
                ? Double.POSITIVE_INFINITY
                : slots * (millis / work - LONG_WORK_FACTOR + 1);
    }

    private static double callsPerSlot(int slots, double calls) {
        return Math.max(1, calls / Math.max(1, slots));
    }
}
