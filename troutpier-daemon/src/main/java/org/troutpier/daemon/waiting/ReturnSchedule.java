package org.troutpier.daemon.waiting;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import org.troutpier.daemon.limit.FlowKey;

/**
 * Assigns return times to refused requests. They return one after another, as fast as capacity
 * becomes free that requests in time do not take, counted over all routers. A more urgent request
 * does not queue behind less urgent ones of this router. Not thread safe; confined to the traffic
 * loop. Invariants: a delay is at least {@link #MIN_DELAY_MILLIS} and, if the given limit is not
 * lower than that, at most the limit; the number of recorded returns is bounded.
 *
 * <p>Intended for bursts of a few seconds beyond the capacity of the engines: those that are
 * refused in it otherwise return together and are refused again, which callers rarely repeat once
 * more.
 */
public final class ReturnSchedule {

    /** Minimum delay, milliseconds; some runs complete in this time. */
    private static final double MIN_DELAY_MILLIS = 400;

    /**
     * Minimum delay during a burst, as a fraction of the limit; most bursts that cause refusals end
     * sooner.
     */
    private static final double BURST_LIMIT_FRACTION = 0.7;

    /** Maximum relative jitter of a delay, for refusals that other routers have not reported. */
    private static final double JITTER = 0.08;

    /** Maximum number of recorded returns. */
    private static final int MAX_RETURNS = 10_000;

    private final RandomGenerator mRandom;

    /** The returns that are due in the future, the next one first. */
    private final PriorityQueue<Return> mReturns =
            new PriorityQueue<>(Comparator.comparingLong(Return::atMillis));

    /** What the recorded returns of each rank need. */
    private final double[] mCosts = new double[FlowKey.LEAST_URGENT_RANK + 1];

    /**
     * A return that is due in the future.
     *
     * @param atMillis when it is due, milliseconds on the monotonic clock
     */
    private record Return(long atMillis, int rank, double cost) {}

    /**
     * The capacity that returning requests find. Immutable and thread safe.
     *
     * @param leftPerMilli the capacity that requests in time leave to them, tokens per millisecond
     * @param burst whether requests in time currently need all capacity that becomes free
     * @param lacking what has to become free for waiting requests first, tokens
     * @param peersReturning what refused requests need whose return time, given by another router,
     *     is still to come, tokens
     */
    public record Outlook(
            double leftPerMilli, boolean burst, double lacking, double peersReturning) {}

    /**
     * Creates a schedule without any returns.
     *
     * @param random the source of jitter
     */
    public ReturnSchedule(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Assigns a return time to a refused request and records it.
     *
     * @param claim the claim of the request
     * @param now the monotonic clock, milliseconds
     * @param limitMillis the maximum delay, milliseconds
     * @return the delay in milliseconds
     */
    public long assignDelayMillis(Claim claim, Outlook outlook, long now, long limitMillis) {
        removeDue(now);
        int rank = claim.flow().rank();
        double before = outlook.lacking() + outlook.peersReturning();
        for (int other = 0; other <= rank; other++) {
            before += mCosts[other];
        }
        double delay =
                outlook.leftPerMilli() > 0
                        ? Math.min(limitMillis, (before + claim.cost()) / outlook.leftPerMilli())
                        : limitMillis;
        if (outlook.burst()) {
            delay = Math.max(delay, limitMillis * BURST_LIMIT_FRACTION);
        }
        double jitter = 1 + JITTER * (2 * mRandom.nextDouble() - 1);
        delay = Math.max(MIN_DELAY_MILLIS, Math.min(limitMillis, delay * jitter));
        if (mReturns.size() < MAX_RETURNS) {
            mReturns.add(new Return(now + (long) delay, rank, claim.cost()));
            mCosts[rank] += claim.cost();
        }
        return (long) delay;
    }

    /**
     * Returns what refused requests need whose return time is still to come, tokens.
     *
     * @param now the monotonic clock, milliseconds
     */
    public double returningCost(long now) {
        removeDue(now);
        double sum = 0;
        for (double cost : mCosts) {
            sum += cost;
        }
        return sum;
    }

    private void removeDue(long now) {
        while (!mReturns.isEmpty() && mReturns.peek().atMillis() <= now) {
            Return due = mReturns.poll();
            mCosts[due.rank()] -= due.cost();
        }
        if (mReturns.isEmpty()) {
            Arrays.fill(mCosts, 0);
        }
    }
}
