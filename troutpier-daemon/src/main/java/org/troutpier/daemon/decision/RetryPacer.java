package org.troutpier.daemon.decision;

import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back, so that they come one after the other once there is room
 * rather than into the load that they were refused in. Confined to the traffic loop. Invariant: the
 * times given out are at least {@link #FIRST_MILLIS} and at most the limit away.
 *
 * <p>It answers bursts of a few seconds. Whoever was refused is late whenever it comes back, so the
 * later of two times costs it little, and a second refusal is the worst that can happen to it.
 */
public final class RetryPacer {

    /**
     * How soon a caller comes back at the earliest, milliseconds: a few runs have ended by then.
     */
    private static final double FIRST_MILLIS = 400;

    /**
     * Which part of the time for which callers stay away passes at least: bursts that refuse are
     * over by then more often than not.
     */
    private static final double LEAST_PART = 0.7;

    /** Which part of the places that become free is meant for callers that come back. */
    private static final double RETURN_PART = 0.5;

    /** After which time a grant's weight has decayed to 1/e, milliseconds. */
    private static final double DECAY_MILLIS = 5000;

    /** The fewest grants a second that are assumed. */
    private static final double LEAST_RATE = 0.5;

    /** How much each time is spread to both sides. */
    private static final double SPREAD = 0.08;

    /** Spreads the times. */
    private final RandomGenerator mRandom;

    /** The decaying number of grants. */
    private double mGrants;

    /** When the number of grants last changed, milliseconds. */
    private long mChanged;

    /** The last time that was given out, milliseconds. */
    private double mLast;

    /**
     * Creates a pacer.
     *
     * @param random spreads the times
     */
    public RetryPacer(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Records that a place was granted.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void recordGrant(long now) {
        mGrants = grants(now) + 1;
        mChanged = now;
    }

    /**
     * Gives out the next time to come back.
     *
     * @param now the monotonic clock, milliseconds
     * @param limitMillis how far away it may be
     * @return milliseconds from now
     */
    public long nextDelayMillis(long now, long limitMillis) {
        double rate = Math.max(LEAST_RATE, grants(now) / DECAY_MILLIS * 1000) * RETURN_PART;
        double first = Math.max(FIRST_MILLIS, limitMillis * LEAST_PART);
        double at = Math.max(now + first, mLast + 1000 / rate);
        mLast = Math.min(at, now + limitMillis);
        double spread = 1 + SPREAD * (2 * mRandom.nextDouble() - 1);
        return (long) Math.max(FIRST_MILLIS, Math.min(limitMillis, (mLast - now) * spread));
    }

    /**
     * Returns the decayed number of grants.
     *
     * @param now the monotonic clock, milliseconds
     * @return the number
     */
    private double grants(long now) {
        return mGrants * Math.exp(-(now - mChanged) / DECAY_MILLIS);
    }
}
