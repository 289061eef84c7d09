package org.troutpier.daemon.plain;

import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.pace.PaceReport;

/**
 * What this router knows of the calls of all routers. Immutable; confined to the traffic loop.
 *
 * @param calls the calls that all routers are known to have in flight at an upstream
 * @param peers the reports of the other routers
 * @param routers the number of routers known to have existed
 */
public record FleetView(ToIntFunction<UpstreamEntry> calls, PeerLoads peers, IntSupplier routers) {

    /**
     * Weight of the assumption that an upstream is as fast as the others, in measurements, so that
     * a single long call does not make it look slow.
     */
    private static final double NORMAL_PACE_WEIGHT = 3;

    /** Returns whether any other router reported recently. */
    boolean hasReports() {
        return peers.peerCount() > 0;
    }

    /** Returns how many times as long as others of its service an upstream takes. */
    double slowdown(UpstreamEntry upstream) {
        PaceReport pace = peers.pace(upstream.incarnation());
        double weight = pace.recentWeight() + pace.lastingWeight();
        return weight == 0
                ? 1
                : Math.exp(
                        (pace.recentRatio() + pace.lastingRatio()) / (weight + NORMAL_PACE_WEIGHT));
    }
}
