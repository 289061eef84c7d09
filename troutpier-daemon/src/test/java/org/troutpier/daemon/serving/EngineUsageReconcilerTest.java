package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.TestReports;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.role.EngineRoleClient;

/** Tests the accounting for runs that no router reports. */
public final class EngineUsageReconcilerTest {

    private static final Incarnation PEER = new Incarnation("peer~1");

    private final UpstreamEntry mEngine = TestUpstreams.decode("engine");
    private ManualClock mTime;
    private PeerLoads mPeers;
    private UpstreamLoads mLoads;
    private FakeReports mReports;

    /** A client whose engine reports the usage set by the test. */
    private static final class FakeReports implements EngineRoleClient {
        long mUsed;
        int mPolls;

        @Override
        public CompletableFuture<EngineReport> report(UpstreamEntry engine) {
            mPolls++;
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
        mTime = new ManualClock();
        mPeers = new PeerLoads();
        mLoads = new UpstreamLoads(mTime.loop(), new Random(1), TestUpstreams.HALL, mPeers);
        mReports = new FakeReports();
    }

    private EngineUsageReconciler startReconciler(EngineUsageReconciler.Scope scope) {
        UpstreamDirectory directory = new UpstreamDirectory(mTime.control(), mTime::millis);
        directory.replaceAll(List.of(mEngine));
        EngineUsageReconciler use =
                new EngineUsageReconciler(mTime.loop(), directory, mLoads, mPeers, mReports, scope);
        use.start();
        return use;
    }

    /** A scope in which one router polls for the others. */
    private static EngineUsageReconciler.Scope relayScope(boolean asks) {
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

    /** Guards against polling no engine at all, as happened in fleets of more than 16 routers. */
    @Test
    public void aRelayThatPollsForOthersSharesItsResults() {
        mReports.mUsed = 30_000;
        startReconciler(relayScope(true));
        mTime.advance(500);
        mLoads.begin(mEngine, 5000);
        assertEquals(mLoads.usage().get(mEngine.incarnation()), UpstreamUsage.of(1, 35_000));
        assertEquals(mLoads.tokens(mEngine), 35_000);
        mTime.advance(15_000);
        assertEquals(mLoads.usage().get(mEngine.incarnation()), UpstreamUsage.of(1, 5000));
    }

    @Test
    public void aRouterThatPollsForItselfSharesNothing() {
        startReconciler(engine -> true);
        mReports.mUsed = 30_000;
        mTime.advance(500);
        assertEquals(mLoads.tokens(mEngine), 30_000);
        assertEquals(mLoads.usage(), Map.of());
    }

    @Test
    public void noEngineIsPolledWhereAnotherRouterPolls() {
        startReconciler(relayScope(false));
        mTime.advance(2000);
        assertEquals(mReports.mPolls, 0);
    }

    private void receivePeerReport(long tokens) {
        LoadReport report =
                TestReports.ofUses(Map.of(mEngine.incarnation(), UpstreamUsage.of(1, tokens)));
        mPeers.update(PEER, TestUpstreams.HALL, ReportScope.OWN, report, mTime.millis());
        mPeers.aggregate(mTime.millis());
    }

    @Test
    public void afterAStartUnattributedRunsAreLearntFromTheEngine() {
        startReconciler(engine -> true);
        mReports.mUsed = 30_000;
        mTime.advance(500);
        assertEquals(mLoads.tokens(mEngine), 30_000);
        mLoads.begin(mEngine, 5000);
        assertEquals(mLoads.tokens(mEngine), 35_000);
        mReports.mUsed = 0;
        mTime.advance(500);
        assertEquals(mLoads.tokens(mEngine), 5000);
    }

    /**
     * Guards against polling engines for twelve seconds after a first start, when no earlier run
     * can exist.
     */
    @Test
    public void onAFirstStartNoEngineIsPolledUntilARouterIsLost() {
        EngineUsageReconciler use = startReconciler(engine -> true);
        use.skipInitialPolling();
        mTime.advance(1);
        int before = mReports.mPolls;
        mTime.advance(2000);
        assertEquals(mReports.mPolls, before);
        receivePeerReport(1000);
        mTime.advance(2500);
        mPeers.aggregate(mTime.millis());
        mTime.advance(1000);
        assertTrue(mReports.mPolls > before);
    }

    @Test
    public void reportedUsageIsNotCountedTwice() {
        startReconciler(engine -> true);
        receivePeerReport(20_000);
        mReports.mUsed = 20_000;
        mTime.advance(900);
        assertEquals(mLoads.tokens(mEngine), 20_000);
    }

    @Test
    public void aDelayedReportIsComparedWithEarlierUsage() {
        startReconciler(engine -> true);
        mLoads.begin(mEngine, 20_000);
        mReports.mUsed = 20_000;
        mTime.advance(900);
        mLoads.end(mEngine, 20_000);
        mTime.advance(400);
        assertEquals(mLoads.tokens(mEngine), 0);
    }

    @Test
    public void enginesArePolledAgainWhenARouterIsLost() {
        startReconciler(engine -> true);
        mTime.advance(20_000);
        int asked = mReports.mPolls;
        assertTrue(asked > 10, "asked " + asked);
        receivePeerReport(1000);
        mTime.advance(1000);
        assertEquals(mReports.mPolls, asked);
        mTime.advance(2000);
        mPeers.aggregate(mTime.millis());
        mReports.mUsed = 40_000;
        mTime.advance(2000);
        assertTrue(mReports.mPolls > asked);
        assertEquals(mLoads.tokens(mEngine), 40_000);
    }
}
