package org.troutpier.daemon.extracall;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.logging.LogThrottle;

/**
 * Limits the calls to a service beyond the first call of each request, over a sliding window.
 * Confined to the traffic loop. Invariant: when a permit is granted, the extra calls of a service
 * within the last window and the open permits are at most the ratio of the requests in that window,
 * plus a fixed allowance. Each router keeps to its own share, also over its restarts, so the sum
 * over all routers stays within the limit without any communication.
 */
public final class ExtraCallBudget {

    private static final Logger LOGGER = LogManager.getLogger(ExtraCallBudget.class);

    private static final int WINDOW_BUCKETS = 20;

    /**
     * Number of buckets kept. The most recent one is incomplete, so one more than the window's
     * number is needed to cover the whole window.
     */
    private static final int RING_SIZE = WINDOW_BUCKETS + 1;

    /**
     * Fraction of the ratio that is used: a whole bucket of requests leaves the window at once, and
     * requests that other routers count in another bucket may be missing.
     */
    private static final double USED_FRACTION = 0.8;

    /** Lowest number of routers assumed, since a new router may not be known yet. */
    private static final int MIN_ROUTERS = 4;

    /**
     * Factor between the known and the assumed number of routers, so that the shares stay within
     * the total while routers exist that are not known yet.
     */
    private static final double ROUTER_MARGIN = 1.5;

    /** Extra calls per request. */
    private double mRatio;

    /** Extra calls in a window without any requests. */
    private double mAllowance;

    /** Until when the allowance is not used, milliseconds on the monotonic clock. */
    private long mAllowanceFromMillis = Long.MIN_VALUE;

    private final long mBucketMillis;

    private final Map<String, Counts> mCounts = new HashMap<>();

    /**
     * What a router has used of its share in a window. Immutable and thread safe.
     *
     * @param requests the requests for the service
     * @param extraCalls the calls beyond the first of each request, and the permits for further
     *     ones
     * @param allowed the most extra calls that these requests allow
     */
    public record Usage(int requests, int extraCalls, double allowed) {}

    /**
     * Permission for one extra call. Invariant: it counts against the budget from its acquisition
     * until the call's arrival is outside the window, however late the call is sent.
     */
    public final class Permit {

        private final Counts mPermitCounts;

        private boolean mClosed;

        private Permit(Counts counts) {
            mPermitCounts = counts;
            counts.mOpenPermits++;
        }

        /**
         * Records that the call has arrived or may have arrived.
         *
         * @param nowMillis the monotonic clock, milliseconds; no earlier than the arrival
         */
        public void recordArrival(long nowMillis) {
            if (close()) {
                advance(mPermitCounts, nowMillis);
                mPermitCounts.mExtra[(int) (mPermitCounts.mBucket % RING_SIZE)]++;
            }
        }

        /** Returns the permit to the budget; its call has not arrived. */
        public void release() {
            close();
        }

        private boolean close() {
            boolean open = !mClosed;
            mClosed = true;
            mPermitCounts.mOpenPermits -= open ? 1 : 0;
            return open;
        }
    }

    /** Counts of one service by bucket. */
    private final class Counts {

        private final int[] mRequests = new int[RING_SIZE];

        private final int[] mExtra = new int[RING_SIZE];

        /** Permits whose calls have not arrived yet. */
        private int mOpenPermits;

        /** Limits the lines about a denied call to one in a window. */
        private final LogThrottle mLogThrottle = new LogThrottle(mBucketMillis * WINDOW_BUCKETS);

        /** The most recent bucket. */
        private long mBucket;
    }

    /**
     * Creates a budget.
     *
     * @param ratio extra calls per request
     * @param allowance extra calls in a window without any requests
     * @param windowMillis the length of the window, milliseconds
     */
    public ExtraCallBudget(double ratio, double allowance, long windowMillis) {
        mRatio = ratio * USED_FRACTION;
        mAllowance = allowance;
        mBucketMillis = Math.max(1, windowMillis / WINDOW_BUCKETS);
    }

    /**
     * Returns the share of the total allowance that one router may use.
     *
     * @param routers the number of routers known to have existed, which may include routers that no
     *     longer run
     */
    public static double routerShare(int routers) {
        return 1 / (ROUTER_MARGIN * Math.max(MIN_ROUTERS, routers));
    }

    /**
     * Changes the limits. Counts are kept.
     *
     * @param ratio extra calls per request
     * @param allowance extra calls in a window without any requests
     */
    public void setLimits(double ratio, double allowance) {
        mRatio = ratio * USED_FRACTION;
        mAllowance = allowance;
    }

    /**
     * Withholds the allowance for one window, as an earlier start of this router may have used it.
     *
     * @param nowMillis the monotonic clock, milliseconds
     */
    public void withholdAllowance(long nowMillis) {
        mAllowanceFromMillis = nowMillis + mBucketMillis * RING_SIZE;
    }

    /** Makes the allowance available; no earlier start of this router can have used it. */
    public void releaseAllowance() {
        mAllowanceFromMillis = Long.MIN_VALUE;
    }

    /**
     * Records a request.
     *
     * @param nowMillis the monotonic clock, milliseconds
     */
    public void recordRequest(String service, long nowMillis) {
        Counts counts = advance(service, nowMillis);
        counts.mRequests[(int) (counts.mBucket % RING_SIZE)]++;
    }

    /**
     * Acquires a permit for an extra call. Extra calls are counted over slightly more than the
     * window, requests over slightly less.
     *
     * @param nowMillis the monotonic clock, milliseconds
     * @return the permit, or empty if the budget is used up
     */
    public Optional<Permit> tryAcquire(String service, long nowMillis) {
        Usage usage = usage(service, nowMillis);
        Counts counts = mCounts.get(service);
        if (usage.extraCalls() + 1 <= usage.allowed()) {
            return Optional.of(new Permit(counts));
        }
        if (counts.mLogThrottle.tryAcquire(nowMillis)) {
            LOGGER.info(
                    "budget of extra calls used up, requests are not sent again service={}"
                            + " requests={} extraCalls={} allowed={}",
                    service,
                    usage.requests(),
                    usage.extraCalls(),
                    usage.allowed());
        }
        return Optional.empty();
    }

    /**
     * Returns what this router has used of its share.
     *
     * @param nowMillis the monotonic clock, milliseconds
     */
    public Usage usage(String service, long nowMillis) {
        Counts counts = advance(service, nowMillis);
        int oldest = (int) ((counts.mBucket + 1) % RING_SIZE);
        int requests = -counts.mRequests[oldest];
        int extra = counts.mOpenPermits;
        for (int slot = 0; slot < RING_SIZE; slot++) {
            requests += counts.mRequests[slot];
            extra += counts.mExtra[slot];
        }
        double allowance = nowMillis < mAllowanceFromMillis ? 0 : mAllowance;
        return new Usage(requests, extra, requests * mRatio + allowance);
    }

    /**
     * Returns the counts of a service after clearing the buckets that are no longer in the window.
     */
    private Counts advance(String service, long nowMillis) {
        Counts counts = mCounts.computeIfAbsent(service, name -> new Counts());
        advance(counts, nowMillis);
        return counts;
    }

    private void advance(Counts counts, long nowMillis) {
        long bucket = nowMillis / mBucketMillis;
        long clear = Math.min(RING_SIZE, bucket - counts.mBucket);
        for (long each = 0; each < clear; each++) {
            int index = (int) ((bucket - each) % RING_SIZE);
            counts.mRequests[index] = 0;
            counts.mExtra[index] = 0;
        }
        counts.mBucket = Math.max(counts.mBucket, bucket);
    }
}
