package org.troutpier.daemon.limit;

import org.troutpier.daemon.decision.SlidingWindowSum;

/**
 * Measures what was used and asked of one limit at this router. Confined to one thread. Invariant:
 * what is older than the window counts no more.
 */
public final class UsageMeter {

    /** How many steps a window is divided into. */
    private static final int STEPS = 16;

    /** How long the window is, milliseconds. */
    private final long mWindowMillis;

    /** What was used. */
    private final SlidingWindowSum mUsed;

    /** What was asked, admitted or not. */
    private final SlidingWindowSum mAsked;

    /**
     * Creates a meter that has measured nothing.
     *
     * @param windowMillis how long the window is, milliseconds
     */
    public UsageMeter(long windowMillis) {
        mWindowMillis = windowMillis;
        mUsed = new SlidingWindowSum(windowMillis, STEPS);
        mAsked = new SlidingWindowSum(windowMillis, STEPS);
    }

    /**
     * Records that something is asked.
     *
     * @param cost how much, in the limit's unit
     * @param now the monotonic clock, milliseconds
     */
    public void recordRequested(double cost, long now) {
        mAsked.add(cost, now);
    }

    /**
     * Records that something is used.
     *
     * @param cost how much, in the limit's unit
     * @param now the monotonic clock, milliseconds
     */
    public void recordUsed(double cost, long now) {
        mUsed.add(cost, now);
    }

    /**
     * Takes back what was recorded as used.
     *
     * @param cost how much, in the limit's unit
     * @param at when it was recorded, milliseconds
     * @param now the monotonic clock, milliseconds
     */
    public void subtract(double cost, long at, long now) {
        mUsed.subtract(cost, at, now);
    }

    /**
     * Forgets what was used before the newest part of the window.
     *
     * @param part which part, above 0 and at most 1
     * @param now the monotonic clock, milliseconds
     */
    public void discardOlder(double part, long now) {
        mUsed.discardBefore(now - Math.round(mWindowMillis * part), now);
    }

    /**
     * Returns what was used and asked lately.
     *
     * @param now the monotonic clock, milliseconds
     * @return the use
     */
    public RecentUsage recent(long now) {
        return new RecentUsage(
                Math.round(mUsed.sum(now)),
                Math.round(mUsed.sum(now, UsageSettings.PACE_FRACTION)),
                Math.round(mAsked.sum(now, UsageSettings.PACE_FRACTION)));
    }
}
