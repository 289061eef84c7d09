package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import java.util.EnumSet;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;

/** Tests whose load counts once a router's process has ended. */
public final class PeerLoadsTest {

    private static final UpstreamIncarnation ENGINE = UpstreamIncarnation.of("engine");
    private static final HallId HALL = new HallId("hall");

    private final PeerLoads mLoads = new PeerLoads();

    private void report(String router, ReportScope scope) {
        UpstreamUsage use = new UpstreamUsage(1, 100, 0, 0, 0);
        LoadReport report = TestReports.ofUses(Map.of(ENGINE, use));
        mLoads.update(new Incarnation(router), HALL, scope, report, 0);
    }

    @Test
    public void loadOfAnEndedRouterNoLongerCountsButThatOfItsGroupDoes() {
        mLoads.setCountedScopes(EnumSet.of(ReportScope.OWN, ReportScope.GROUP));
        report("router-1~a", ReportScope.OWN);
        report("router-2~a", ReportScope.GROUP);
        mLoads.discardOwn(new Incarnation("router-1~a"));
        mLoads.discardOwn(new Incarnation("router-2~a"));
        mLoads.aggregateIfOutdated(0);
        assertEquals(mLoads.upstreamUsage(ENGINE).tokens(), 100);
    }
}
