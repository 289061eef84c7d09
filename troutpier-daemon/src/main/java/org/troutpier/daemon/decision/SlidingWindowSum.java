package org.troutpier.daemon.decision;

/**
 * A sum over a sliding window. Confined to one thread. Invariant: what is older than the window and
 * one step counts no more; of the oldest step counts as much as is still in the window.
 */
public final class SlidingWindowSum {

    /** What was added in each step. */
    private final double[] mAdded;

    /** How long a step is, milliseconds. */
    private final long mStepMillis;

    /** How many steps make the window. */
    private final int mSteps;

    /** The newest step. */
    private long mStep;

    /**
     * Creates an empty sum.
     *
     * @param windowMillis how long the window is, milliseconds
     * @param steps how many steps it is divided into
     */
    public SlidingWindowSum(long windowMillis, int steps) {
        mSteps = steps;
        mAdded = new double[steps + 1];
        mStepMillis = Math.max(1, windowMillis / steps);
    }

    /**
     * Adds to the sum.
     *
     * @param amount how much
     * @param now the monotonic clock, milliseconds
     */
    public void add(double amount, long now) {
        advance(now);
        mAdded[slot(mStep)] += amount;
    }

    /**
     * Takes back what was added, unless it counts no more.
     *
     * @param amount how much
     * @param at when it was added, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    public void subtract(double amount, long at, long now) {
        advance(now);
        long step = at / mStepMillis;
        if (mStep - step <= mSteps) {
            mAdded[slot(step)] = Math.max(0, mAdded[slot(step)] - amount);
        }
    }

    /**
     * Forgets what was added before a moment, by whole steps.
     *
     * @param at the moment, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    public void discardBefore(long at, long now) {
        advance(now);
        long first = at / mStepMillis;
        for (long step = mStep - mSteps; step < Math.min(first, mStep + 1); step++) {
            mAdded[slot(step)] = 0;
        }
    }

    /**
     * Sums up the whole window.
     *
     * @param now the monotonic clock, milliseconds
     * @return the sum
     */
    public double sum(long now) {
        return sum(now, 1);
    }

    /**
     * Sums up the newest part of the window.
     *
     * @param now the monotonic clock, milliseconds
     * @param part which part, above 0 and at most 1
     * @return the sum
     */
    public double sum(long now, double part) {
        advance(now);
        int steps = (int) (mSteps * part);
        double gone = (now % mStepMillis) / (double) mStepMillis;
        double sum = -gone * mAdded[slot(mStep - steps)];
        for (int back = 0; back <= steps; back++) {
            sum += mAdded[slot(mStep - back)];
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
        long clear = Math.min(mAdded.length, step - mStep);
        for (long each = 0; each < clear; each++) {
            mAdded[slot(step - each)] = 0;
        }
        mStep = Math.max(mStep, step);
    }

    /**
     * Returns where a step is kept.
     *
     * @param step the step
     * @return its place
     */
    private int slot(long step) {
        return (int) Math.floorMod(step, (long) mAdded.length);
    }
}
