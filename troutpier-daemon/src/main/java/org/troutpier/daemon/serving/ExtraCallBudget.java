package org.troutpier.daemon.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the calls that a service gets beyond the first of each request, over a sliding window.
 * Confined to the traffic loop. Invariant: within any window, extra calls of a service are at most
 * the ratio of the requests seen in that window, plus the fixed allowance. Each router keeps to its
 * own part, so the sum over all routers keeps to the whole without any word between them.
 */
public final class ExtraCallBudget {

    /** How many steps a window is divided into. */
    private static final int STEPS = 20;

    /**
     * How many steps are kept: the newest is not over yet, so that only one more than the window's
     * number covers the whole window.
     */
    private static final int SLOTS = STEPS + 1;

    /**
     * Which part of the ratio is used: a step's worth of requests drops out of the window at once,
     * and requests that other routers count in another step may not be there.
     */
    private static final double USED_PART = 0.8;

    /** How many routers are assumed at least: a new one may not be known yet. */
    private static final int LEAST_ROUTERS = 4;

    /** How many routers more than are known are assumed. */
    private static final double MORE_ROUTERS = 1.5;

    /** Extra calls for each request. */
    private double mRatio;

    /** Extra calls in a window without any requests. */
    private double mAllowance;

    /** How long a step is, milliseconds. */
    private final long mStepMillis;

    /** The counts of each service. */
    private final Map<String, Counts> mCounts = new HashMap<>();

    /** One service's counts by step. */
    private static final class Counts {

        /** Requests in each step. */
        private final int[] mRequests = new int[SLOTS];

        /** Extra calls in each step. */
        private final int[] mExtra = new int[SLOTS];

        /** The newest step. */
        private long mStep;
    }

    /**
     * Creates a budget.
     *
     * @param ratio extra calls for each request
     * @param allowance extra calls in a window without any requests
     * @param windowMillis how long the window is, milliseconds
     */
    public ExtraCallBudget(double ratio, double allowance, long windowMillis) {
        mRatio = ratio * USED_PART;
        mAllowance = allowance;
        mStepMillis = Math.max(1, windowMillis / STEPS);
    }

    /**
     * Returns which part of the whole allowance one router may use.
     *
     * @param routers how many routers are known to have been there; those that are gone may count
     *     too
     * @return the part, small enough that routers that are not known yet break nothing
     */
    public static double routerShare(int routers) {
        return 1 / (MORE_ROUTERS * Math.max(LEAST_ROUTERS, routers));
    }

    /**
     * Takes other limits; what was counted stays counted.
     *
     * @param ratio extra calls for each request
     * @param allowance extra calls in a window without any requests
     */
    public void setLimits(double ratio, double allowance) {
        mRatio = ratio * USED_PART;
        mAllowance = allowance;
    }

    /**
     * Records a request.
     *
     * @param service the service it goes to
     * @param nowMillis the monotonic clock, milliseconds
     */
    public void recordRequest(String service, long nowMillis) {
        Counts counts = at(service, nowMillis);
        counts.mRequests[(int) (counts.mStep % SLOTS)]++;
    }

    /**
     * Asks for an extra call. Extra calls are counted over a little more than the window, requests
     * over a little less.
     *
     * @param service the service it goes to
     * @param nowMillis the monotonic clock, milliseconds
     * @return whether it may be made
     */
    public boolean tryAcquire(String service, long nowMillis) {
        Counts counts = at(service, nowMillis);
        int oldest = (int) ((counts.mStep + 1) % SLOTS);
        int requests = -counts.mRequests[oldest];
        int extra = 0;
        for (int slot = 0; slot < SLOTS; slot++) {
            requests += counts.mRequests[slot];
            extra += counts.mExtra[slot];
        }
        if (extra + 1 > requests * mRatio + mAllowance) {
            return false;
        }
        counts.mExtra[(int) (counts.mStep % SLOTS)]++;
        return true;
    }

    /**
     * Returns a service's counts with all steps before the window cleared.
     *
     * @param service the service
     * @param nowMillis the monotonic clock, milliseconds
     * @return the counts
     */
    private Counts at(String service, long nowMillis) {
        Counts counts = mCounts.computeIfAbsent(service, name -> new Counts());
        long step = nowMillis / mStepMillis;
        long clear = Math.min(SLOTS, step - counts.mStep);
        for (long each = 0; each < clear; each++) {
            int index = (int) ((step - each) % SLOTS);
            counts.mRequests[index] = 0;
            counts.mExtra[index] = 0;
        }
        counts.mStep = Math.max(counts.mStep, step);
        return counts;
    }
}
