package org.troutpier.daemon.decision;

/**
 * A sum over a sliding time window that is divided into steps. Not thread safe. Invariant: amounts
 * older than the window by more than one step do not count; amounts of the oldest step count in
 * proportion to the part of it that lies in the window.
 */
public final class SlidingWindowSum {

    /** The amounts by step, a ring buffer of one step more than the window has. */
    private final double[] mAmounts;

    private final long mStepMillis;

    private final int mSteps;

    /** The most recent step. */
    private long mStep;

    /**
     * Creates an empty sum.
     *
     * @param windowMillis the length of the window, milliseconds
     * @param steps the number of steps in the window
     */
    public SlidingWindowSum(long windowMillis, int steps) {
        mSteps = steps;
        mAmounts = new double[steps + 1];
        mStepMillis = Math.max(1, windowMillis / steps);
    }

    /**
     * Adds an amount.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void add(double amount, long now) {
        advance(now);
        mAmounts[slot(mStep)] += amount;
    }

    /**
     * Subtracts an amount that was added earlier, unless it has left the window.
     *
     * @param at the time at which it was added, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    public void subtract(double amount, long at, long now) {
        advance(now);
        long step = at / mStepMillis;
        if (mStep - step <= mSteps) {
            mAmounts[slot(step)] = Math.max(0, mAmounts[slot(step)] - amount);
        }
    }

    /**
     * Discards all steps before the one that contains a time.
     *
     * @param at the time, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    public void discardBefore(long at, long now) {
        advance(now);
        long first = at / mStepMillis;
        for (long step = mStep - mSteps; step < Math.min(first, mStep + 1); step++) {
            mAmounts[slot(step)] = 0;
        }
    }

    /**
     * Returns the sum over the whole window.
     *
     * @param now the monotonic clock, milliseconds
     */
    public double sum(long now) {
        return sum(now, 1);
    }

    /**
     * Returns the sum over the most recent part of the window.
     *
     * @param now the monotonic clock, milliseconds
     * @param fraction the part as a fraction of the window, above 0 and at most 1
     */
    public double sum(long now, double fraction) {
        advance(now);
        int steps = (int) (mSteps * fraction);
        double expired = (now % mStepMillis) / (double) mStepMillis;
        double sum = -expired * mAmounts[slot(mStep - steps)];
        for (int age = 0; age <= steps; age++) {
            sum += mAmounts[slot(mStep - age)];
        }
        return sum;
    }

    /** Moves on to the current step and clears the steps that left the window. */
    private void advance(long now) {
        long step = now / mStepMillis;
        long expired = Math.min(mAmounts.length, step - mStep);
        for (long age = 0; age < expired; age++) {
            mAmounts[slot(step - age)] = 0;
        }
        mStep = Math.max(mStep, step);
    }

    private int slot(long step) {
        return (int) Math.floorMod(step, (long) mAmounts.length);
    }
}
