package org.troutpier.daemon.pace;

import org.troutpier.common.id.UpstreamIncarnation;

/** Provides what the other routers measured of upstreams. Implementations are thread safe. */
public interface PeerPaces {

    /**
     * Returns how long an upstream recently took, as measured by the other routers.
     *
     * @param now the monotonic clock, milliseconds
     */
    PaceReport pace(UpstreamIncarnation upstream, long now);
}
