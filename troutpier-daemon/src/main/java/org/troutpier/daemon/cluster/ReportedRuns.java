package org.troutpier.daemon.cluster;

import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.GrowthForecast;

/**
 * The runs of the other routers, by their reports. Immutable; thread safe as {@link PeerLoads} is.
 *
 * @param peers the reports
 */
public record ReportedRuns(PeerLoads peers) implements GrowthForecast.PeerRuns {

    /** {@inheritDoc} */
    @Override
    public int count(UpstreamEntry engine) {
        return peers.upstreamUsage(engine.incarnation()).calls();
    }

    /** {@inheritDoc} */
    @Override
    public long tokens(UpstreamEntry engine) {
        return peers.upstreamUsage(engine.incarnation()).tokens();
    }

    /** {@inheritDoc} */
    @Override
    public long restCorrection(UpstreamEntry engine) {
        return peers.upstreamUsage(engine.incarnation()).restCorrection();
    }
}
