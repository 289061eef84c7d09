package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.TestReports;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.waiting.WaitingReport;

/** Tests the choice of upstreams by load, and their ejection. */
public final class UpstreamLoadsTest {

    private final UpstreamEntry mNear = TestUpstreams.plain("near", "hall-a");
    private final UpstreamEntry mFar = TestUpstreams.plain("far", "hall-b");
    private ManualClock mTime;
    private PeerLoads mPeers;
    private UpstreamLoads mLoads;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mPeers = new PeerLoads();
        mLoads = new UpstreamLoads(mTime.loop(), new Random(1), TestUpstreams.HALL, mPeers);
    }

    private Optional<UpstreamEntry> pick() {
        return mLoads.order().byCalls(List.of(mFar, mNear), Set.of()).stream().findFirst();
    }

    @Test
    public void theOwnHallIsPreferredUntilItIsBusier() {
        assertEquals(pick().get(), mNear);
        mLoads.begin(mNear, 0);
        assertEquals(pick().get(), mNear);
        mLoads.begin(mNear, 0);
        assertEquals(pick().get(), mFar);
        mLoads.end(mNear, 0);
        assertEquals(pick().get(), mNear);
    }

    @Test
    public void callsLostWithThePathCountAgainstTheUpstreamAtAllRouters() {
        mLoads.failed(mNear, false, "lost");
        assertEquals(mLoads.usage().keySet(), Set.of(mNear.incarnation()));
        mLoads.discardFailures(mNear);
        assertEquals(mLoads.usage().keySet(), Set.of());
    }

    @Test
    public void callsOfOtherRoutersCount() {
        LoadReport report = TestReports.ofUses(Map.of(mNear.incarnation(), UpstreamUsage.of(5, 0)));
        mPeers.update(
                new Incarnation("peer~1"),
                TestUpstreams.HALL,
                ReportScope.OWN,
                report,
                mTime.millis());
        mPeers.aggregate(mTime.millis());
        assertEquals(pick().get(), mFar);
        mPeers.aggregate(mTime.millis() + 10_000);
        assertEquals(pick().get(), mNear);
    }

    @Test
    public void anUnreachableUpstreamIsEjectedTemporarily() {
        mLoads.failed(mNear, true, "refused");
        assertEquals(pick().get(), mFar);
        mTime.advance(501);
        assertEquals(pick().get(), mNear);
        mLoads.failed(mNear, true, "refused");
        mTime.advance(501);
        assertEquals(pick().get(), mFar);
        mLoads.succeeded(mNear);
        assertEquals(pick().get(), mNear);
    }

    @Test
    public void aReplacedUpstreamIsEjectedUntilItsEntryExpiresOrChangesRole() {
        UpstreamEntry engine = TestUpstreams.decode("engine");
        UpstreamEntry other = TestUpstreams.decode("other");
        mLoads.begin(other, 1000);
        mLoads.replaced(engine);
        assertEquals(mLoads.order().byTokens(List.of(engine, other), Set.of()), List.of(other));
        UpstreamEntry changed = TestUpstreams.prefill("engine");
        assertEquals(mLoads.order().byTokens(List.of(changed), Set.of()), List.of(changed));
        mTime.advance(3900);
        assertEquals(mLoads.order().byTokens(List.of(engine, other), Set.of()), List.of(other));
        mTime.advance(200);
        assertEquals(mLoads.order().byTokens(List.of(engine, other), Set.of()).size(), 2);
    }

    @Test
    public void anIdleEngineThatRefusesRunsIsAvoided() {
        UpstreamEntry idle = TestUpstreams.decode("idle");
        UpstreamEntry busy = TestUpstreams.decode("busy");
        List<UpstreamEntry> engines = List.of(idle, busy);
        mLoads.begin(busy, 5000);
        mLoads.runRefused(idle);
        assertEquals(mLoads.order().byTokens(engines, Set.of()).get(0), idle);
        mLoads.runRefused(idle);
        assertEquals(mLoads.order().byTokens(engines, Set.of()), List.of(busy));
        assertEquals(mLoads.refusingEngines(), Set.of(idle.incarnation()));
        mTime.advance(1001);
        assertEquals(mLoads.order().byTokens(engines, Set.of()).get(0), idle);
        mLoads.runRefused(idle);
        mTime.advance(1001);
        assertEquals(mLoads.order().byTokens(engines, Set.of()), List.of(busy));
        mLoads.succeeded(idle);
        assertEquals(mLoads.order().byTokens(engines, Set.of()).get(0), idle);
    }

    @Test
    public void anEngineThatRefusesRunsOfAnotherRouterIsAvoided() {
        UpstreamEntry idle = TestUpstreams.decode("idle");
        UpstreamEntry busy = TestUpstreams.decode("busy");
        mLoads.begin(busy, 5000);
        LoadReport report =
                new LoadReport(
                        1,
                        1,
                        false,
                        0,
                        Set.of(),
                        Set.of(idle.incarnation()),
                        Map.of(),
                        Map.of(),
                        UsageReport.NONE,
                        Map.of(),
                        WaitingReport.NONE,
                        Map.of());
        mPeers.update(
                new Incarnation("peer~1"),
                TestUpstreams.HALL,
                ReportScope.OWN,
                report,
                mTime.millis());
        mPeers.aggregate(mTime.millis());
        assertEquals(mLoads.order().byTokens(List.of(idle, busy), Set.of()), List.of(busy));
    }

    @Test
    public void ifAllEnginesRefuseRunsTheLeastLoadedIsUsed() {
        UpstreamEntry idle = TestUpstreams.decode("idle");
        UpstreamEntry busy = TestUpstreams.decode("busy");
        mLoads.begin(busy, 5000);
        for (int refusal = 0; refusal < 3; refusal++) {
            mLoads.runRefused(idle);
            mLoads.runRefused(busy);
        }
        assertEquals(mLoads.order().byTokens(List.of(busy, idle), Set.of()), List.of(idle, busy));
    }

    @Test
    public void onlySeveralConsecutiveFailuresEjectAnUpstream() {
        mLoads.failed(mNear, false, "500");
        mLoads.failed(mNear, false, "500");
        assertEquals(pick().get(), mNear);
        mLoads.failed(mNear, false, "500");
        mLoads.failed(mNear, false, "500");
        assertEquals(pick().get(), mFar);
    }

    @Test
    public void ifAllAreEjectedTheNextToReturnIsUsed() {
        mLoads.failed(mNear, true, "refused");
        mTime.advance(100);
        mLoads.failed(mFar, true, "refused");
        assertEquals(pick().get(), mNear);
    }

    @Test
    public void aSilentUpstreamIsAvoidedUntilItAnswers() {
        mLoads.silent(mNear, "silent");
        assertEquals(mLoads.order().byCalls(List.of(mNear, mFar), Set.of()), List.of(mFar));
        mLoads.succeeded(mNear);
        assertEquals(pick().get(), mNear);
    }

    @Test
    public void ifAllAreSilentAllRemainUsable() {
        mLoads.silent(mNear, "silent");
        mLoads.silent(mFar, "silent");
        assertEquals(mLoads.order().byCalls(List.of(mNear, mFar), Set.of()), List.of(mNear, mFar));
        mLoads.begin(mNear, 0);
        mLoads.begin(mNear, 0);
        assertEquals(pick().get(), mFar, "load is spread as before");
    }

    @Test
    public void ifAllHaveFailedCallsAllRemainUsable() {
        for (int failure = 0; failure < 4; failure++) {
            mLoads.failed(mNear, false, "stream silent");
            mLoads.failed(mFar, false, "stream silent");
        }
        assertEquals(mLoads.order().byCalls(List.of(mNear, mFar), Set.of()).size(), 2);
    }

    @Test
    public void aSilentUpstreamIsPreferredToAnUnreachableOrRefusingOne() {
        UpstreamEntry refusing = TestUpstreams.plain("refusing", "hall-a");
        mLoads.silent(mFar, "silent");
        mLoads.silent(mNear, "silent");
        mLoads.failed(mNear, true, "refused");
        mLoads.refused(refusing);
        List<UpstreamEntry> all = List.of(mNear, mFar, refusing);
        assertEquals(mLoads.order().byCalls(all, Set.of()), List.of(mFar));
    }

    @Test
    public void triedUpstreamsAndChangingEnginesAreNotChosen() {
        assertEquals(
                mLoads.order().byCalls(List.of(mNear, mFar), Set.of(mNear.incarnation())),
                List.of(mFar));
        mLoads.setChangingEngines(Set.of(mFar.incarnation()));
        assertTrue(
                mLoads.order()
                        .byCalls(List.of(mNear, mFar), Set.of(mNear.incarnation()))
                        .isEmpty());
    }

    @Test
    public void aReplacedEngineIsReportedImmediately() {
        UpstreamEntry engine = TestUpstreams.decode("crashed");
        AtomicInteger notifications = new AtomicInteger();
        mLoads.onUrgentChange(notifications::incrementAndGet);
        mLoads.replaced(engine);
        assertEquals(notifications.get(), 1);
        assertEquals(mLoads.refusingEngines(), Set.of(engine.incarnation()));
    }
}
