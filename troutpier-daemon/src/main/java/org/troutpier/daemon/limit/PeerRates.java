package org.troutpier.daemon.limit;

import org.troutpier.common.id.UpstreamIncarnation;

/** What the other routers reported of upstreams that name rates. Thread safe. */
public interface PeerRates {

    /**
     * Returns what the others reported of an upstream.
     *
     * @param upstream the upstream
     * @param now the clock of the control state, milliseconds
     * @return the sum, as old as it is now
     */
    RateReport rate(UpstreamIncarnation upstream, long now);

    /**
     * Returns how many others were heard of lately.
     *
     * @return the count
     */
    int peerCount();
}
