package org.troutpier.daemon.plain;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.waiting.WaitingReport;

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

    /**
     * Returns the calls that the other routers are expected to place before this router hears of
     * them, if each goes on as it last reported.
     */
    List<WaitingReport.Entry> expectedCalls(String service) {
        List<WaitingReport.Entry> expected = new ArrayList<>();
        for (RecentArrivals.Entry entry : peers.arrivals().entries()) {
            if (entry.service().equals(service)) {
                expected.add(
                        new WaitingReport.Entry(
                                service,
                                QueueTier.IN_TIME,
                                entry.rank(),
                                entry.organisation(),
                                entry.calls() * REPORT_AGE_MILLIS / RecentArrivals.WINDOW_MILLIS,
                                0));
            }
        }
        return expected;
    }

    /** Returns whether any other router reported recently. */
    boolean hasReports() {
        return peers.peerCount() > 0;
    }
}
