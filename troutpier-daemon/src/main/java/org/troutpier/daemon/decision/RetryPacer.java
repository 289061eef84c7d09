package org.troutpier.daemon.decision;

import java.util.random.RandomGenerator;

/**
 * Assigns retry delays to refused callers so that they retry one after another once capacity is
 * free, rather than during the burst in which they were refused. Not thread safe; confined to the
 * traffic loop. Invariant: delays are at least {@link #MIN_DELAY_MILLIS} and, if the given limit is
 * not lower than that, at most the limit.
 *
 * <p>Bursts last a few seconds. A refused request misses its target whenever it is retried, so a
 * longer delay costs it little, while a second refusal is the worst outcome.
 */
public final class RetryPacer {

    /** Minimum delay, milliseconds; some runs complete in this time. */
    private static final double MIN_DELAY_MILLIS = 400;

    /** Minimum delay as a fraction of the limit; most bursts that cause refusals end sooner. */
    private static final double MIN_LIMIT_FRACTION = 0.7;

    /** Fraction of the capacity that becomes free that is intended for retries. */
    private static final double RETRY_FRACTION = 0.5;

    /** Time in which the weight of a grant decays to 1/e, milliseconds. */
    private static final double DECAY_MILLIS = 5000;

    /** Minimum rate of grants that is assumed, per second. */
    private static final double MIN_RATE = 0.5;

    /** Maximum relative jitter of a delay in either direction. */
    private static final double JITTER = 0.08;

    private final RandomGenerator mRandom;

    /** The exponentially decaying number of grants as of {@link #mUpdated}. */
    private double mGrants;

    /** Time of the last grant, milliseconds. */
    private long mUpdated;

    /** The latest retry time assigned, milliseconds. */
    private double mLast;

    /**
     * Creates a pacer.
     *
     * @param random the source of jitter
     */
    public RetryPacer(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Records that engine capacity was granted to a request.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void recordGrant(long now) {
        mGrants = grants(now) + 1;
        mUpdated = now;
    }

    /**
     * Assigns the next retry delay.
     *
     * @param now the monotonic clock, milliseconds
     * @param limitMillis the maximum delay, milliseconds
     * @return the delay in milliseconds
     */
    public long nextDelayMillis(long now, long limitMillis) {
        double rate = Math.max(MIN_RATE, grants(now) / DECAY_MILLIS * 1000) * RETRY_FRACTION;
        double earliest = Math.max(MIN_DELAY_MILLIS, limitMillis * MIN_LIMIT_FRACTION);
        double at = Math.max(now + earliest, mLast + 1000 / rate);
        mLast = Math.min(at, now + limitMillis);
        double jitter = 1 + JITTER * (2 * mRandom.nextDouble() - 1);
        return (long) Math.max(MIN_DELAY_MILLIS, Math.min(limitMillis, (mLast - now) * jitter));
    }

    private double grants(long now) {
        return mGrants * Math.exp(-(now - mUpdated) / DECAY_MILLIS);
    }
}
