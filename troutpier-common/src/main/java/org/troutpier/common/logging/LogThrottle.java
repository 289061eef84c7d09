package org.troutpier.common.logging;

/**
 * Keeps lines apart that may come often. Confined to one thread. Invariant: of any two lines, the
 * later one is a pause or more after the other.
 */
public final class LogThrottle {

    /** The shortest time between two lines, milliseconds. */
    private final long mMillis;

    /** When the last line was due, milliseconds. */
    private long mLineAt = Long.MIN_VALUE / 2;

    /**
     * Creates a pause that is over.
     *
     * @param millis the shortest time between two lines, milliseconds
     */
    public LogThrottle(long millis) {
        mMillis = millis;
    }

    /**
     * Returns whether a line may be written, and begins the next pause if so.
     *
     * @param now the monotonic clock, milliseconds
     * @return whether the last one was long enough ago
     */
    public boolean tryAcquire(long now) {
        boolean over = now - mLineAt >= mMillis;
        mLineAt = over ? now : mLineAt;
        return over;
    }
}
