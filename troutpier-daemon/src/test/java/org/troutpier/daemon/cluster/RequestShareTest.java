package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.quarantine.RouterShare;
import org.troutpier.daemon.waiting.WaitingReport;

/** The part of the requests that a router receives, and what it does for the others by it. */
public final class RequestShareTest {

    private static final int ROUTERS = 300;

    private DemandMeter mOwn;
    private PeerLoads mPeers;
    private RequestShare mShare;

    @BeforeMethod
    public void create() {
        mOwn = new DemandMeter();
        mPeers = new PeerLoads();
        mShare = new RequestShare(mOwn, mPeers, () -> ROUTERS);
    }

    private void report(String router, Map<String, Demand> demands) {
        LoadReport report =
                new LoadReport(
                        1,
                        1,
                        false,
                        0,
                        Set.of(),
                        Set.of(),
                        Map.of(),
                        demands,
                        UsageReport.NONE,
                        Map.of(),
                        WaitingReport.NONE,
                        Map.of());
        Incarnation from = Incarnation.create(new InstanceId(router));
        mPeers.update(from, new HallId("hall"), ReportScope.OWN, report, 0);
        mPeers.aggregate(0);
    }

    @Test
    public void aRouterThatReceivesNearlyAllRequestsClearsPartsAndTriesThemAtOnce() {
        assertEquals(mShare.part(), 1.0 / ROUTERS);
        mOwn.recordRequest("model", 9000, 0);
        mOwn.publish(0);
        report("other", Map.of("model", Demand.ofRequest(1000)));
        assertEquals(mShare.part(), 0.9, 1e-9);
        RouterShare share = new RouterShare.ForManyRouters(mShare::part, new SplittableRandom(7));
        double delays = 0;
        for (int draw = 0; draw < 1000; draw++) {
            assertTrue(share.clears());
            delays += share.drawDelay(900);
        }
        assertEquals(delays / 1000, 1000, 100);
    }

    @Test
    public void aRouterWithoutRequestsLeavesPartsToTheOthers() {
        report("other", Map.of("model", Demand.ofRequest(1000)));
        assertTrue(mShare.part() <= 0.1 / ROUTERS, "part " + mShare.part());
    }
}
