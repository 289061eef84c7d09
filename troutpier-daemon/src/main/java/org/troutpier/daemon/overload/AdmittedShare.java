package org.troutpier.daemon.overload;

/**
 * The share of new connections that a router admits, which follows its load. Not thread safe;
 * confined to the traffic loop. Invariants: the share is at least {@link #MIN_SHARE}, and the
 * connections admitted are spread evenly over those that come, so that a router which is ready
 * always takes some.
 */
final class AdmittedShare {

    /** Smallest share: an overloaded router takes every fourth connection. */
    static final double MIN_SHARE = 0.25;

    /** Smallest factor of one decrease. */
    private static final double MIN_FACTOR = 0.85;

    /**
     * One increase. What was admitted loads the router for as long as its requests take, so the
     * effect of an increase is complete only many samples later.
     */
    private static final double INCREASE = 0.01;

    /** Load up to which the share rises, in multiples of what the router bears. */
    private static final double LOW_LOAD = 0.9;

    private double mShare = 1;

    /** The part of a connection by which those admitted are behind the share. */
    private double mCredit;

    /**
     * Adapts the share to a load.
     *
     * @param roomElsewhere whether the clients may find a router with room; if not, they are better
     *     served late here
     */
    void update(RouterLoad load, boolean roomElsewhere) {
        if (!roomElsewhere) {
            mShare = 1;
            return;
        }
        if (load.isExcessive()) {
            mShare = Math.max(MIN_SHARE, mShare * Math.max(MIN_FACTOR, 1 / load.relative()));
        } else if (load.relative() < LOW_LOAD) {
            mShare = Math.min(1, mShare + INCREASE);
        }
    }

    /** Returns whether the next connection is admitted. */
    boolean admitNext() {
        mCredit = Math.min(1, mCredit + mShare);
        if (mCredit < 1) {
            return false;
        }
        mCredit -= 1;
        return true;
    }

    /** Returns the share. */
    double value() {
        return mShare;
    }
}
