package org.troutpier.common.http;

/**
 * Decides when a connection has been idle for too long. Not thread safe; has no clock of its own.
 * Invariants: a connection with a request in service is not idle; while there is output, only its
 * progress counts, so that a slow reader is waited for, but one that takes nothing is not, whatever
 * it sends.
 */
final class IdleTimeout {

    /** How often the progress of output is checked within the limit. */
    private static final int CHECKS_PER_LIMIT = 4;

    private final long mLimitMillis;

    /** The last time at which the connection was not idle. */
    private long mActiveAt;

    /** Output that had not been written at the last check, bytes. */
    private long mUnwritten;

    /**
     * Creates a timeout.
     *
     * @param limitMillis how long a connection may be idle, milliseconds
     * @param now the current time, milliseconds
     */
    IdleTimeout(long limitMillis, long now) {
        mLimitMillis = limitMillis;
        mActiveAt = now;
    }

    /** Records that bytes were received. */
    void recordInput(long now) {
        if (mUnwritten == 0) {
            mActiveAt = now;
        }
    }

    /** Records that bytes were handed over for sending. */
    void recordOutput(long now) {
        mActiveAt = now;
    }

    /**
     * Returns whether the connection has been idle for the limit.
     *
     * @param serving whether a request is being served
     * @param unwritten output that has not been written to the socket, bytes
     */
    boolean isExpired(long now, boolean serving, long unwritten) {
        if (serving || unwritten != mUnwritten) {
            mActiveAt = now;
            mUnwritten = unwritten;
        }
        return now - mActiveAt >= mLimitMillis;
    }

    /** Returns the time until the next check, milliseconds. */
    long nextCheckMillis(long now) {
        if (mUnwritten > 0) {
            return Math.max(1, mLimitMillis / CHECKS_PER_LIMIT);
        }
        return Math.max(1, mActiveAt + mLimitMillis - now);
    }
}
