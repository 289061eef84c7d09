package org.troutpier.daemon.plain;

import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * The part of one upstream's limit that a router uses while it hears of no other router. Answers
 * the load of many routers that are cut from each other, which together must not overrun the
 * upstream. Not thread safe; confined to the traffic loop. Invariant: the part is at most the limit
 * that was last set.
 */
final class IsolatedPart {

    private final UpstreamEntry mUpstream;

    private double mCalls;

    private double mLimit;

    /**
     * Creates a part.
     *
     * @param calls the calls that this router may have in flight there; less than one if several
     *     upstreams have a call in common
     */
    IsolatedPart(UpstreamEntry upstream, double calls) {
        mUpstream = upstream;
        mCalls = calls;
        mLimit = Math.max(1, calls);
    }

    UpstreamEntry upstream() {
        return mUpstream;
    }

    /** Returns the calls, possibly less than one. */
    double calls() {
        return mCalls;
    }

    /**
     * Returns the most calls in flight at the upstream; one at least, so that it is still tried.
     */
    int wholeCalls() {
        return (int) Math.max(1, Math.ceil(mCalls));
    }

    /** Sets the limit of the upstream, to which the part is reduced. */
    void setLimit(int limit) {
        mLimit = Math.max(1, limit);
        mCalls = Math.min(mCalls, mLimit);
    }

    /** Raises the part after an answer in time. */
    void raise(double calls) {
        mCalls = Math.min(mLimit, mCalls + calls);
    }

    /** Halves the part after a late answer or a call that was turned away. */
    void halve() {
        mCalls /= 2;
    }
}
