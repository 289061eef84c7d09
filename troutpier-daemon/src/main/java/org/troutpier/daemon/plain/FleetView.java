package org.troutpier.daemon.plain;

import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * What this router knows of the calls of all routers. Immutable; confined to the traffic loop.
 *
 * @param calls the calls that all routers are known to have in flight at an upstream
 * @param peers the reports of the other routers
 * @param routers the number of routers known to have existed
 */
public record FleetView(ToIntFunction<UpstreamEntry> calls, PeerLoads peers, IntSupplier routers) {

    /** Age of the other routers' calls, milliseconds: the interval of reports, and their way. */
    static final double REPORT_AGE_MILLIS = 50;

    /** Returns whether any other router reported recently. */
    boolean hasReports() {
        return peers.peerCount() > 0;
    }
}
