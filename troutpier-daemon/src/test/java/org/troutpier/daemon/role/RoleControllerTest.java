package org.troutpier.daemon.role;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.route.Service;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;

/** Tests which engines are reported as changing, and which orders are given. */
public final class RoleControllerTest {

    private static final String SERVICE = "notes";
    private static final int TERM = 3000;
    private static final int SWITCH = 2000;
    private static final long CHANGE_AT_MOST = SWITCH + 20_000;

    private ManualClock mTime;
    private FakeRowStore mStore;
    private UpstreamDirectory mDirectory;
    private FakeRoleClient mClient;
    private RoleController mController;

    /** A client whose engines accept each order and then stay in the change. */
    private static final class FakeRoleClient implements EngineRoleClient {
        final List<UpstreamIncarnation> mOrdered = new ArrayList<>();
        final List<Long> mExpected = new ArrayList<>();

        /**
         * The incarnation that answers in place of the requested engine; null for the engine
         * itself.
         */
        UpstreamIncarnation mReportsAs;

        @Override
        public CompletableFuture<EngineReport> report(UpstreamEntry engine) {
            boolean changing = mOrdered.contains(engine.incarnation());
            return CompletableFuture.completedFuture(
                    new EngineReport(
                            mReportsAs == null ? engine.incarnation() : mReportsAs,
                            engine.role(),
                            changing,
                            changing ? 1 : 0,
                            0));
        }

        @Override
        public CompletableFuture<Outcome> changeRole(
                UpstreamEntry engine,
                UpstreamEntry.Role role,
                LeaseGrant lease,
                long expectedOrders) {
            mOrdered.add(engine.incarnation());
            mExpected.add(expectedOrders);
            return CompletableFuture.completedFuture(Outcome.TAKEN);
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mStore = new FakeRowStore(new VersionedRows());
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        mClient = new FakeRoleClient();
        Node node = TestNode.of("router", mTime.control(), mTime::nanos);
        CurrentConfiguration configuration = new CurrentConfiguration();
        EngineTraits traits = new EngineTraits(10, 90_000, 4, 2000, 500, SWITCH);
        configuration.adoptIfNewer(
                new RoutingConfiguration(
                        1,
                        List.of(),
                        List.of(new Service(SERVICE, 100, Optional.of(traits))),
                        List.of(),
                        ServerLimits.DEFAULT,
                        new byte[0]),
                "test");
        list(UpstreamEntry.Role.PREFILL);
        mController =
                new RoleController(
                        node,
                        configuration,
                        mDirectory,
                        new PeerLoads(),
                        service -> Demand.NONE,
                        mClient,
                        new RoleController.LeaseOptions(mStore, TERM, () -> true, () -> true));
        mController.start();
    }

    /**
     * Lists four engines. Before any demand is measured, one third of the engines are to prefill.
     */
    private void list(UpstreamEntry.Role first) {
        mDirectory.replaceAll(
                List.of(
                        engine("e1", first),
                        engine("e2", UpstreamEntry.Role.PREFILL),
                        engine("e3", UpstreamEntry.Role.DECODE),
                        engine("e4", UpstreamEntry.Role.DECODE)));
    }

    private static UpstreamEntry engine(String id, UpstreamEntry.Role role) {
        return engine(id, role, "");
    }

    private static UpstreamEntry engine(String id, UpstreamEntry.Role role, String version) {
        return new UpstreamEntry(
                UpstreamIncarnation.of(id),
                SERVICE,
                new Address("127.0.0.1", 1),
                new HallId("hall"),
                10,
                role,
                false,
                new SoftwareVersion(version));
    }

    private void orderOne() {
        mTime.advance(4 * TERM);
        assertEquals(mClient.mOrdered, List.of(UpstreamIncarnation.of("e1")));
        assertEquals(mController.changingEngines(), Set.of(UpstreamIncarnation.of("e1")));
    }

    @Test
    public void aChangingEngineIsReportedUntilListedInItsNewRole() {
        orderOne();
        list(UpstreamEntry.Role.DECODE);
        mTime.advance(1000);
        assertTrue(mController.changingEngines().isEmpty());
    }

    @Test
    public void aChangingEngineIsStillReportedAfterTheLeaseIsLost() {
        orderOne();
        mStore.mAway = true;
        mTime.advance(2 * TERM);
        assertFalse(mController.holdsLease());
        assertEquals(mController.changingEngines(), Set.of(UpstreamIncarnation.of("e1")));
        list(UpstreamEntry.Role.DECODE);
        mTime.advance(1000);
        assertTrue(mController.changingEngines().isEmpty());
        assertEquals(mClient.mOrdered.size(), 1);
    }

    @Test
    public void aChangeThatNeverCompletesTimesOut() {
        orderOne();
        mStore.mAway = true;
        mTime.advance(CHANGE_AT_MOST);
        assertTrue(mController.changingEngines().isEmpty());
    }

    /**
     * A restarted engine counts its orders from zero, so the next order must expect none before it.
     */
    @Test
    public void aRestartedEngineIsOrderedAgain() {
        orderOne();
        UpstreamEntry again = engine("e1~2", UpstreamEntry.Role.PREFILL);
        mDirectory.update(again.id(), Optional.of(engine("e1~1", UpstreamEntry.Role.PREFILL)));
        mDirectory.update(again.id(), Optional.of(again));
        mTime.advance(1000);
        assertTrue(mController.changingEngines().isEmpty());
        mTime.advance(4 * TERM);
        assertEquals(mClient.mOrdered.get(1), again.incarnation());
        assertEquals(mClient.mExpected, List.of(0L, 0L));
    }

    @Test
    public void aReportOfAnotherIncarnationIsIgnored() {
        mClient.mReportsAs = UpstreamIncarnation.of("e1~1");
        UpstreamEntry again = engine("e1~2", UpstreamEntry.Role.PREFILL);
        mDirectory.update(again.id(), Optional.of(again));
        mTime.advance(4 * TERM);
        assertTrue(mClient.mOrdered.isEmpty());
        mClient.mReportsAs = null;
        mTime.advance(1000);
        assertEquals(mClient.mOrdered, List.of(again.incarnation()));
    }

    @Test
    public void theLastEnginesOfAVersionDoNotAllPrefill() {
        mDirectory.replaceAll(
                List.of(
                        engine("e1", UpstreamEntry.Role.PREFILL, "v1"),
                        engine("e2", UpstreamEntry.Role.PREFILL, "v1"),
                        engine("e3", UpstreamEntry.Role.DECODE, "v2"),
                        engine("e4", UpstreamEntry.Role.DECODE, "v2"),
                        engine("e5", UpstreamEntry.Role.DECODE, "v2"),
                        engine("e6", UpstreamEntry.Role.DECODE, "v2")));
        mTime.advance(4 * TERM);
        assertEquals(mClient.mOrdered, List.of(UpstreamIncarnation.of("e1")));
    }

    @Test
    public void theOnlyDecodeEngineOfAVersionDoesNotBecomeAPrefillEngine() {
        mDirectory.replaceAll(
                List.of(
                        engine("e1", UpstreamEntry.Role.DECODE, "v1"),
                        engine("e2", UpstreamEntry.Role.DECODE, "v2"),
                        engine("e3", UpstreamEntry.Role.DECODE, "v2")));
        mTime.advance(4 * TERM);
        assertEquals(mClient.mOrdered, List.of(UpstreamIncarnation.of("e2")));
    }
}
