package org.troutpier.daemon.organisation;

/**
 * What one organisation used at one router in a sliding window. Confined to the traffic loop.
 * Invariant: what is older than the window and one step counts no more.
 */
final class UseWindow {

    /** How many steps a window is divided into. */
    private static final int STEPS = 16;

    /** How many steps are kept: the oldest is over only in part. */
    private static final int SLOTS = STEPS + 1;

    /** What was used in each step. */
    private final double[] mUsed = new double[SLOTS];

    /** How long a step is, milliseconds. */
    private final long mStepMillis;

    /** The newest step. */
    private long mStep;

    /**
     * Creates a window in which nothing was used.
     *
     * @param windowMillis how long it is, milliseconds
     */
    UseWindow(long windowMillis) {
        mStepMillis = Math.max(1, windowMillis / STEPS);
    }

    /**
     * Adds use.
     *
     * @param cost what is used
     * @param now the monotonic clock, milliseconds
     */
    void add(double cost, long now) {
        advance(now);
        mUsed[slot(mStep)] += cost;
    }

    /**
     * Takes use back, unless it counts no more.
     *
     * @param cost what was used
     * @param at when it was added, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    void giveBack(double cost, long at, long now) {
        advance(now);
        long step = at / mStepMillis;
        if (mStep - step < SLOTS) {
            mUsed[slot(step)] = Math.max(0, mUsed[slot(step)] - cost);
        }
    }

    /**
     * Sums up.
     *
     * @param now the monotonic clock, milliseconds
     * @return what was used in the window and in its newest part; of the oldest step of each as
     *     much as is still in it
     */
    RecentUse used(long now) {
        advance(now);
        double gone = (now % mStepMillis) / (double) mStepMillis;
        return new RecentUse(
                Math.round(sum(STEPS, gone)),
                Math.round(sum((int) (STEPS * UseSettings.PACE_PART), gone)));
    }

    /**
     * Sums up steps.
     *
     * @param steps how many that are over, beside the newest
     * @param gone which part of the oldest of them counts no more
     * @return what was used in them
     */
    private double sum(int steps, double gone) {
        double sum = -gone * mUsed[slot(mStep - steps)];
        for (int back = 0; back <= steps; back++) {
            sum += mUsed[slot(mStep - back)];
        }
        return sum;
    }

    /**
     * Clears the steps that are over.
     *
     * @param now the monotonic clock, milliseconds
     */
    private void advance(long now) {
        long step = now / mStepMillis;
        long clear = Math.min(SLOTS, step - mStep);
        for (long each = 0; each < clear; each++) {
            mUsed[slot(step - each)] = 0;
        }
        mStep = Math.max(mStep, step);
    }

    /**
     * Returns where a step is kept.
     *
     * @param step the step
     * @return its place
     */
    private static int slot(long step) {
        return (int) Math.floorMod(step, (long) SLOTS);
    }
}
