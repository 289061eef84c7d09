package org.troutpier.daemon.cluster;

import java.util.function.IntSupplier;

/**
 * The part of the requests for model services that this router receives. Immutable; thread safe as
 * its components are. Invariant: the part is above 0 and at most 1.
 *
 * @param own the demand at this router
 * @param peers the demand at the other routers
 * @param routers the number of routers, this one included
 */
public record RequestShare(DemandMeter own, PeerLoads peers, IntSupplier routers) {

    /** Smallest part, in parts of one router of many with the same demand. */
    private static final double MIN_OF_EVEN = 0.1;

    /** Returns the part; that of a router of many with the same demand if there is none. */
    public double part() {
        double even = 1.0 / Math.max(1, routers.getAsInt());
        double here = own.recentPromptTokens();
        double total = here + peers.recentPromptTokens();
        return total <= 0 ? even : Math.max(even * MIN_OF_EVEN, here / total);
    }
}
