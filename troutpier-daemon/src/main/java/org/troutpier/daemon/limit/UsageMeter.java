package org.troutpier.daemon.limit;

import org.troutpier.daemon.decision.SlidingWindowSum;

/**
 * Measures the recent usage of and demand for one limit at this router. Not thread safe. Invariant:
 * usage older than the window does not count.
 */
public final class UsageMeter {

    private static final int STEPS = 16;

    private final long mWindowMillis;

    private final SlidingWindowSum mUsed;

    /** The demand, whether admitted or not. */
    private final SlidingWindowSum mRequested;

    /**
     * Creates an empty meter.
     *
     * @param windowMillis the length of the window, milliseconds
     */
    public UsageMeter(long windowMillis) {
        mWindowMillis = windowMillis;
        mUsed = new SlidingWindowSum(windowMillis, STEPS);
        mRequested = new SlidingWindowSum(windowMillis, STEPS);
    }

    /**
     * Records demand.
     *
     * @param cost the amount in the unit of the limit
     * @param now the monotonic clock, milliseconds
     */
    public void recordRequested(double cost, long now) {
        mRequested.add(cost, now);
    }

    /**
     * Records usage.
     *
     * @param cost the amount in the unit of the limit
     * @param now the monotonic clock, milliseconds
     */
    public void recordUsed(double cost, long now) {
        mUsed.add(cost, now);
    }

    /**
     * Subtracts usage that was recorded earlier.
     *
     * @param cost the amount in the unit of the limit
     * @param at the time at which it was recorded, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    public void subtract(double cost, long at, long now) {
        mUsed.subtract(cost, at, now);
    }

    /**
     * Discards all usage except that of the most recent part of the window.
     *
     * @param fraction the part as a fraction of the window, above 0 and at most 1
     * @param now the monotonic clock, milliseconds
     */
    public void discardOlder(double fraction, long now) {
        mUsed.discardBefore(now - Math.round(mWindowMillis * fraction), now);
    }

    /**
     * Returns the recent usage and demand.
     *
     * @param now the monotonic clock, milliseconds
     */
    public RecentUsage recent(long now) {
        return new RecentUsage(
                Math.round(mUsed.sum(now)),
                Math.round(mUsed.sum(now, UsageSettings.PACE_FRACTION)),
                Math.round(mRequested.sum(now, UsageSettings.PACE_FRACTION)));
    }
}
