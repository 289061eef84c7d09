package org.troutpier.common.logging;

/**
 * Limits how often a log line is written. Confined to one thread. Invariant: two lines are at least
 * the interval apart.
 */
public final class LogThrottle {

    /** Minimum interval between two lines, milliseconds. */
    private final long mIntervalMillis;

    /** When the last line was written, milliseconds. */
    private long mLastLineAt = Long.MIN_VALUE / 2;

    /**
     * Creates a throttle that permits a first line.
     *
     * @param intervalMillis minimum interval between two lines, milliseconds
     */
    public LogThrottle(long intervalMillis) {
        mIntervalMillis = intervalMillis;
    }

    /**
     * Returns whether a line may be written, and starts the next interval if so.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether the interval since the last line has passed
     */
    public boolean tryAcquire(long now) {
        boolean acquired = now - mLastLineAt >= mIntervalMillis;
        mLastLineAt = acquired ? now : mLastLineAt;
        return acquired;
    }
}
