package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualTime;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.role.EngineRoleClient;

/** What is learnt of runs that no router tells of. */
public final class ReportedUseTest {

    private static final Incarnation PEER = new Incarnation("peer~1");

    private final UpstreamEntry mEngine = TestUpstreams.decode("engine");
    private ManualTime mTime;
    private PeerLoads mPeers;
    private UpstreamLoads mLoads;
    private FakeReports mReports;

    /** An engine that reports what the test says. */
    private static final class FakeReports implements EngineRoleClient {
        long mUsed;
        int mAsked;

        @Override
        public CompletableFuture<EngineReport> report(UpstreamEntry engine) {
            mAsked++;
            return CompletableFuture.completedFuture(
                    new EngineReport(engine.incarnation(), engine.role(), false, 0, mUsed));
        }

        @Override
        public CompletableFuture<Outcome> changeRole(
                UpstreamEntry engine,
                UpstreamEntry.Role role,
                LeaseGrant lease,
                long expectedOrders) {
            throw new IllegalStateException("nothing is ordered here");
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualTime();
        mPeers = new PeerLoads();
        mLoads = new UpstreamLoads(mTime.loop(), new Random(1), TestUpstreams.HALL, mPeers);
        mReports = new FakeReports();
    }

    private EngineUsageReconciler learn(EngineUsageReconciler.Scope scope) {
        UpstreamDirectory directory = new UpstreamDirectory(mTime.control(), mTime::millis);
        directory.replaceAll(List.of(mEngine));
        EngineUsageReconciler use =
                new EngineUsageReconciler(mTime.loop(), directory, mLoads, mPeers, mReports, scope);
        use.start();
        return use;
    }

    /** A scope in which one router asks for the others. */
    private static EngineUsageReconciler.Scope forOthers(boolean asks) {
        return new EngineUsageReconciler.Scope() {
            @Override
            public boolean polls(UpstreamEntry engine) {
                return asks;
            }

            @Override
            public boolean sharesResults() {
                return asks;
            }
        };
    }

    /** Before, no engine was asked in fleets of more than 16 routers. */
    @Test
    public void whoAsksForTheOthersTellsThemWhatItLearns() {
        mReports.mUsed = 30_000;
        learn(forOthers(true));
        mTime.pass(500);
        mLoads.begin(mEngine, 5000);
        assertEquals(mLoads.usage().get(mEngine.incarnation()), UpstreamUsage.of(1, 35_000));
        assertEquals(mLoads.tokens(mEngine), 35_000);
        mTime.pass(15_000);
        assertEquals(mLoads.usage().get(mEngine.incarnation()), UpstreamUsage.of(1, 5000));
    }

    @Test
    public void whoAsksForItselfTellsNobody() {
        learn(engine -> true);
        mReports.mUsed = 30_000;
        mTime.pass(500);
        assertEquals(mLoads.tokens(mEngine), 30_000);
        assertEquals(mLoads.usage(), Map.of());
    }

    @Test
    public void whereAnotherAsksNoEngineIsAsked() {
        learn(forOthers(false));
        mTime.pass(2000);
        assertEquals(mReports.mAsked, 0);
    }

    private void told(long tokens) {
        LoadReport report =
                new LoadReport(
                        1,
                        1,
                        false,
                        0,
                        Set.of(),
                        Set.of(),
                        Map.of(mEngine.incarnation(), UpstreamUsage.of(1, tokens)),
                        Map.of(),
                        UsageReport.NONE,
                        Map.of());
        mPeers.update(PEER, TestUpstreams.HALL, ReportScope.OWN, report, mTime.millis());
        mPeers.aggregate(mTime.millis());
    }

    @Test
    public void afterAStartRunsThatNobodyTellsOfAreKnownFromTheEngine() {
        learn(engine -> true);
        mReports.mUsed = 30_000;
        mTime.pass(500);
        assertEquals(mLoads.tokens(mEngine), 30_000);
        mLoads.begin(mEngine, 5000);
        assertEquals(mLoads.tokens(mEngine), 35_000);
        mReports.mUsed = 0;
        mTime.pass(500);
        assertEquals(mLoads.tokens(mEngine), 5000);
    }

    /** Engines were asked for twelve seconds after each start before. */
    @Test
    public void whereNothingRanBeforeNoEngineIsAskedUntilARouterIsLost() {
        EngineUsageReconciler use = learn(engine -> true);
        use.skipInitialPolling();
        mTime.pass(1);
        int before = mReports.mAsked;
        mTime.pass(2000);
        assertEquals(mReports.mAsked, before);
        told(1000);
        mTime.pass(2500);
        mPeers.aggregate(mTime.millis());
        mTime.pass(1000);
        assertTrue(mReports.mAsked > before);
    }

    @Test
    public void whatIsToldIsNotCountedTwice() {
        learn(engine -> true);
        told(20_000);
        mReports.mUsed = 20_000;
        mTime.pass(900);
        assertEquals(mLoads.tokens(mEngine), 20_000);
    }

    @Test
    public void aReportThatIsLateIsHeldAgainstWhatWasKnownThen() {
        learn(engine -> true);
        mLoads.begin(mEngine, 20_000);
        mReports.mUsed = 20_000;
        mTime.pass(900);
        mLoads.end(mEngine, 20_000);
        mTime.pass(400);
        assertEquals(mLoads.tokens(mEngine), 0);
    }

    @Test
    public void enginesAreAskedAgainWhenARouterIsHeardNoMore() {
        learn(engine -> true);
        mTime.pass(20_000);
        int asked = mReports.mAsked;
        assertTrue(asked > 10, "asked " + asked);
        told(1000);
        mTime.pass(1000);
        assertEquals(mReports.mAsked, asked);
        mTime.pass(2000);
        mPeers.aggregate(mTime.millis());
        mReports.mUsed = 40_000;
        mTime.pass(2000);
        assertTrue(mReports.mAsked > asked);
        assertEquals(mLoads.tokens(mEngine), 40_000);
    }
}
