package org.troutpier.daemon.limit;

import org.troutpier.common.id.UpstreamIncarnation;

/** The reports of the other routers about upstreams that announce rates. Thread safe. */
public interface PeerRates {

    /**
     * Returns the combined report of the other routers about an upstream, aged to the given time.
     *
     * @param now the clock of the control state, milliseconds
     */
    RateReport rate(UpstreamIncarnation upstream, long now);

    /** Returns the number of other routers with a recent report. */
    int peerCount();
}
