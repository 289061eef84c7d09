package org.troutpier.daemon.extracall;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The calls of one request that may have arrived at upstreams of its service. Confined to the
 * traffic loop. Invariants: each call that may arrive beyond the first holds a permit from before
 * it is sent; a call counts unless it is proved that it never arrived. The first prefill that an
 * engine completes does not count; one that was rejected or lost does, since it may have been
 * turned away on arrival.
 */
public final class RequestArrivals {

    private final ExtraCallBudget mBudget;

    private final String mService;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mClock;

    /** Receives whether the budget granted a permit, each time one is requested. */
    private final Consumer<Boolean> mPermitListener;

    /** Calls that may have arrived or are in flight. */
    private int mCount;

    /** Whether a completed prefill was left out of the count. */
    private boolean mPrefillExempted;

    /** The permit for the next call, if one was reserved. */
    private Optional<ExtraCallBudget.Permit> mReserved = Optional.empty();

    /** Calls of which it is not known yet whether they have arrived. */
    private final List<Arrival> mInFlight = new ArrayList<>();

    /**
     * Creates an instance for a request that was not sent yet.
     *
     * @param clock the monotonic clock, milliseconds
     * @param permitListener receives whether the budget granted a permit, each time one is
     *     requested
     */
    public RequestArrivals(
            ExtraCallBudget budget,
            String service,
            LongSupplier clock,
            Consumer<Boolean> permitListener) {
        mBudget = budget;
        mService = service;
        mClock = clock;
        mPermitListener = permitListener;
    }

    /**
     * Reserves a permit for the next call if it needs one. The permit is kept until the call is
     * sent, however long that takes.
     *
     * @return whether the next call may be sent
     */
    public boolean reserve() {
        if (mCount > 0 && mReserved.isEmpty()) {
            mReserved = acquire();
        }
        return mCount == 0 || mReserved.isPresent();
    }

    /**
     * Begins a prefill. To be called right before it is sent. After a completed prefill, a further
     * one counts as well, so it is begun only if the budget also allows the run that follows it;
     * the permit of that run is kept.
     *
     * @return the call, or empty if the budget does not allow it
     */
    public Optional<Arrival> beginPrefill() {
        if (!mPrefillExempted) {
            return begin();
        }
        if (mReserved.isEmpty()) {
            mReserved = acquire();
        }
        if (mReserved.isEmpty()) {
            return Optional.empty();
        }
        Optional<ExtraCallBudget.Permit> permit = mCount > 0 ? acquire() : Optional.empty();
        boolean allowed = mCount == 0 || permit.isPresent();
        return allowed ? Optional.of(new Arrival(permit)) : Optional.empty();
    }

    /**
     * Begins a call. To be called right before it is sent.
     *
     * @return the call, or empty if the budget does not allow it
     */
    public Optional<Arrival> begin() {
        if (!reserve()) {
            return Optional.empty();
        }
        Optional<ExtraCallBudget.Permit> permit = mCount > 0 ? mReserved : Optional.empty();
        if (permit.isPresent()) {
            mReserved = Optional.empty();
        }
        return Optional.of(new Arrival(permit));
    }

    private Optional<ExtraCallBudget.Permit> acquire() {
        Optional<ExtraCallBudget.Permit> permit = mBudget.tryAcquire(mService, mClock.getAsLong());
        mPermitListener.accept(permit.isPresent());
        return permit;
    }

    /** Returns how many calls beyond the first may have arrived. */
    public int extraCalls() {
        return Math.max(0, mCount - 1);
    }

    /** Ends the request: calls in flight count as arrived, and the reserved permit is released. */
    public void close() {
        List.copyOf(mInFlight).forEach(Arrival::recordArrived);
        releaseReserved();
    }

    /** Releases the permit that was reserved for a call which is not sent after all. */
    public void releaseReserved() {
        mReserved.ifPresent(ExtraCallBudget.Permit::release);
        mReserved = Optional.empty();
    }

    /** One call to one upstream. Invariant: what is known of it is recorded once. */
    public final class Arrival {

        private final Optional<ExtraCallBudget.Permit> mPermit;

        private Arrival(Optional<ExtraCallBudget.Permit> permit) {
            mPermit = permit;
            mCount++;
            mInFlight.add(this);
        }

        /** Records that the call has arrived or may have arrived. */
        public void recordArrived() {
            if (mInFlight.remove(this)) {
                mPermit.ifPresent(permit -> permit.recordArrival(mClock.getAsLong()));
            }
        }

        /** Records that the call was a prefill that its engine has completed. */
        public void recordPrefilled() {
            if (mPrefillExempted) {
                recordArrived();
            } else {
                mPrefillExempted = true;
                uncount();
            }
        }

        /** Records that the call was not sent, or that no byte of it has arrived. */
        public void recordUnreached() {
            uncount();
        }

        /** Takes the call out of the count, and keeps its permit for the next one. */
        private void uncount() {
            if (!mInFlight.remove(this)) {
                return;
            }
            mCount--;
            if (mReserved.isEmpty()) {
                mReserved = mPermit;
            } else {
                mPermit.ifPresent(ExtraCallBudget.Permit::release);
            }
        }
    }
}
