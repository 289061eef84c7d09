package org.troutpier.daemon.serving;

import java.util.random.RandomGenerator;

/**
 * The back-off that an upstream requested from this router, and the ramp-up after it. Confined to
 * the traffic loop, except that {@link #endsAt()} may be read by any thread. Invariants: no call is
 * admitted before the latest requested end; after it, one call is admitted at a time, and each
 * success doubles that number, until {@link #RAMP_UP_MILLIS} have passed.
 */
final class UpstreamBackOff {

    /** Duration of the ramp-up after a back-off, milliseconds. */
    static final long RAMP_UP_MILLIS = 2000;

    /**
     * Largest fraction by which a back-off is extended, so that routers of which it was requested
     * at the same time do not return together.
     */
    private static final double JITTER = 0.1;

    /** Largest extension of a back-off, milliseconds. */
    private static final long MAX_JITTER_MILLIS = 500;

    /** When calls are admitted again, milliseconds; 0 if no back-off was requested. */
    private volatile long mEndsAt;

    /** Calls that may be in flight during the ramp-up. */
    private int mConcurrencyLimit = 1;

    /** Calls that were withheld. */
    private long mWithheld;

    /**
     * Starts a back-off, or extends the current one.
     *
     * @param millis its duration, milliseconds
     * @param now the current time, milliseconds
     */
    void extend(long millis, long now, RandomGenerator random) {
        long jitter = (long) Math.min(MAX_JITTER_MILLIS, millis * JITTER);
        mEndsAt = Math.max(mEndsAt, now + millis + random.nextLong(jitter + 1));
        mConcurrencyLimit = 1;
    }

    /** Returns when calls are admitted again, milliseconds; 0 if no back-off was requested. */
    long endsAt() {
        return mEndsAt;
    }

    /**
     * Returns whether a call is admitted, and counts it as withheld if not.
     *
     * @param activeCalls the calls that this router has in flight at the upstream
     * @param now the current time, milliseconds
     */
    boolean admits(int activeCalls, long now) {
        boolean admitted = now >= mEndsAt && (isOver(now) || activeCalls < mConcurrencyLimit);
        if (!admitted) {
            mWithheld++;
        }
        return admitted;
    }

    /**
     * Returns whether the back-off and the ramp-up are over, so that the number of calls is not
     * limited.
     */
    boolean isOver(long now) {
        return mEndsAt == 0 || now >= mEndsAt + RAMP_UP_MILLIS;
    }

    /**
     * Records a success. Calls that were sent before the end of the back-off do not count.
     *
     * @param sentAt when the call was sent, milliseconds
     */
    void recordSuccess(long sentAt) {
        if (sentAt >= mEndsAt) {
            mConcurrencyLimit = Math.min(Integer.MAX_VALUE / 2, 2 * mConcurrencyLimit);
        }
    }

    /** Returns the number of calls withheld since the first back-off. */
    long withheld() {
        return mWithheld;
    }
}
