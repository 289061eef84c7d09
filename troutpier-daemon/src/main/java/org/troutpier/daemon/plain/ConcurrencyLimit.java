package org.troutpier.daemon.plain;

/**
 * Limits the calls that all routers together have in flight at one upstream. Answers the load of a
 * burst that exceeds the slots of an upstream: its queue fills, calls are answered late, and those
 * beyond it are turned away. Not thread safe; confined to the traffic loop. Invariant: the limit is
 * never below the slots, since an upstream with a free slot answers no one any sooner by being left
 * idle.
 *
 * <p>The limit is the number of calls with which an answer is predicted within the target. An upper
 * bound on it starts at the slots or the calls already there, rises while the upstream turns no
 * call away, and is halved when it does. An upstream that has returned is therefore not sent a
 * whole backlog at once.
 */
final class ConcurrencyLimit {

    /**
     * Calls per slot that are sent at most. Other routers' calls are known some tens of
     * milliseconds late; the excess of that time needs room in the upstream's own queue.
     */
    private static final int MAX_CALLS_PER_SLOT = 4;

    /**
     * Time in which the bound rises by the number of slots, milliseconds: several times the age of
     * the other routers' reports, so that the effect of one rise is known before the next.
     */
    private static final double RISE_MILLIS = 500;

    /** Factor of the bound after the upstream has turned a call away. */
    private static final double DECREASE_FACTOR = 0.5;

    private final int mSlots;

    /** The bound as of {@link #mBoundAt}. */
    private double mBound;

    private long mBoundAt;

    /** Until when the upstream is assumed to be full, milliseconds. */
    private long mFullUntil;

    /**
     * Creates the limit of an upstream to which this router has not sent any call.
     *
     * @param slots the slots of the upstream
     * @param calls the calls that other routers have there, which it takes without being overrun
     * @param now the current time, milliseconds
     */
    ConcurrencyLimit(int slots, int calls, long now) {
        mSlots = Math.max(1, slots);
        setBound(calls, now);
    }

    /**
     * Records that the upstream turned a call away because it is full.
     *
     * @param now the current time, milliseconds
     * @param freeAfterMillis the time after which the next of its slots is expected to be free,
     *     milliseconds
     */
    void recordFull(long now, double freeAfterMillis) {
        setBound(bound(now) * DECREASE_FACTOR, now);
        mFullUntil = now + (long) Math.ceil(freeAfterMillis);
    }

    /**
     * Records that the upstream was lost or left calls unanswered.
     *
     * @param now the current time, milliseconds
     */
    void recordLost(long now) {
        setBound(mSlots, now);
    }

    /** What a limit is determined by. */
    enum Cause {
        /** The number of slots. */
        SLOTS,
        /** The time within which calls are to be answered. */
        TARGET,
        /** Calls that were turned away, or a recent return of the upstream. */
        BOUND,
        /** The upstream turned a call away just now. */
        FULL
    }

    /** Returns what the limit is determined by; see {@link #limit}. */
    Cause cause(double callsInTime, long now) {
        double bound = bound(now);
        if (now < mFullUntil) {
            return Cause.FULL;
        }
        if (Math.min(bound, callsInTime) <= mSlots) {
            return Cause.SLOTS;
        }
        return bound < callsInTime ? Cause.BOUND : Cause.TARGET;
    }

    /**
     * Returns the limit.
     *
     * @param callsInTime the number of calls with which the upstream answers within the target
     * @param now the current time, milliseconds
     * @return the number of calls; 0 while the upstream is assumed to be full
     */
    int limit(double callsInTime, long now) {
        if (now < mFullUntil) {
            return 0;
        }
        return (int) Math.max(mSlots, Math.min(bound(now), callsInTime));
    }

    private void setBound(double bound, long now) {
        mBound = Math.max(mSlots, bound);
        mBoundAt = now;
    }

    private double bound(long now) {
        double risen = mBound + mSlots * (now - mBoundAt) / RISE_MILLIS;
        return Math.min(risen, MAX_CALLS_PER_SLOT * mSlots);
    }
}
