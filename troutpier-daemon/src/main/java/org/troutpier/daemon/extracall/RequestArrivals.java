package org.troutpier.daemon.extracall;

/**
 * Counts the calls of one request that may have arrived at upstreams of its service. Confined to
 * the traffic loop. Invariant: a call counts from the moment it is sent, unless it is proved that
 * it never arrived. The first prefill that an engine completes does not count; one that was
 * rejected or lost does, since it may have been turned away on arrival.
 */
public final class RequestArrivals {

    private int mCount;

    /** Whether a completed prefill was left out of the count. */
    private boolean mPrefillExempted;

    /** Begins a call. To be called right before it is sent. */
    public Arrival begin() {
        return new Arrival();
    }

    /** Returns how many calls beyond the first may have arrived. */
    public int extraCalls() {
        return Math.max(0, mCount - 1);
    }

    /** One call to one upstream. Invariant: what is known of it is recorded once. */
    public final class Arrival {

        private boolean mRecorded;

        private Arrival() {
            mCount++;
        }

        /** Records that the call has arrived or may have arrived. */
        public void recordArrived() {
            mRecorded = true;
        }

        /** Records that the call was a prefill that its engine has completed. */
        public void recordPrefilled() {
            if (!mRecorded && !mPrefillExempted) {
                mPrefillExempted = true;
                mCount--;
            }
            mRecorded = true;
        }

        /** Records that no byte of the call has arrived. */
        public void recordUnreached() {
            if (!mRecorded) {
                mCount--;
            }
            mRecorded = true;
        }
    }
}
