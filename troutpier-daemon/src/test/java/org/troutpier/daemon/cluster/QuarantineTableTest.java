package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.quarantine.CrashRecord;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.quarantine.RequestFingerprint;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** Tests the quarantine of routers that are connected only through the store. */
public final class QuarantineTableTest {

    private static final QuarantineSettings SETTINGS = new QuarantineSettings(3, 60, 3000, "");
    private static final RequestFingerprint REQUEST =
            RequestFingerprint.of("host", "/guilty", new byte[0]);

    private ManualClock mTime;
    private VersionedRows mRows;

    /** A router that no other reaches. */
    private final class Router {

        final FakeRowStore mStore = new FakeRowStore(mRows);
        final Quarantine mQuarantine =
                new Quarantine(SETTINGS, mTime::millis, new MetricRegistry());
        final ManualClock.PausableControlExecutor mControl = mTime.control();
        final QuarantineTable mTable;

        Router(String name) {
            Node node = TestNode.of(name, mControl, mTime::nanos);
            PeerExchange exchange = new IsolatedRouter(node).mExchange;
            mTable =
                    new QuarantineTable(
                            node, mStore, exchange, SETTINGS, mQuarantine, Runnable::run);
            mTable.start();
        }

        void crash(int... upstreams) {
            for (int upstream : upstreams) {
                mQuarantine.recordCrash(
                        List.of(REQUEST), UpstreamIncarnation.of("upstream-" + upstream));
            }
        }

        boolean isQuarantined() {
            return mQuarantine.isQuarantined(REQUEST);
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mRows = new VersionedRows();
    }

    private Router router(String name) {
        Router router = new Router(name);
        mTime.advance(100);
        return router;
    }

    private int rows() {
        return mRows.read(QuarantineTable.TABLE, "", "", 1000).rows().size();
    }

    @Test
    public void aRouterWithoutPeersLearnsFromTheStoreInTime() {
        Router one = router("one");
        Router other = router("other");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(other.isQuarantined());
    }

    @Test
    public void crashesWrittenConcurrentlyAreMerged() {
        Router one = router("one");
        Router other = router("other");
        one.crash(1, 2);
        other.crash(3, 4);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(one.isQuarantined() && other.isQuarantined());
        assertEquals(one.mQuarantine.records(), other.mQuarantine.records());
        assertEquals(one.mQuarantine.records().get(REQUEST).ended().size(), 4);
    }

    @Test
    public void aRouterStartedAfterALossOfAllLoadsTheQuarantine() {
        router("one").crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(router("later").isQuarantined());
    }

    @Test
    public void aRecordMissingInARestoredStoreIsStoredAgain() {
        Router one = router("one");
        VersionedRows.Copy copy = mRows.copy();
        one.crash(1, 2, 3);
        mTime.advance(2L * SETTINGS.knownMillis());
        assertEquals(rows(), 1);
        mRows.restore(copy);
        assertEquals(rows(), 0);
        mTime.advance(3L * SETTINGS.knownMillis());
        assertTrue(one.isQuarantined());
        assertEquals(rows(), 1);
        assertTrue(router("later").isQuarantined());
    }

    @Test
    public void aFrozenRouterLearnsSoonAfterItResumes() {
        Router one = router("one");
        Router frozen = router("still");
        frozen.mControl.pause(true);
        one.crash(1, 2, 3);
        mTime.advance(10_000);
        assertFalse(frozen.isQuarantined());
        frozen.mControl.pause(false);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(frozen.isQuarantined());
    }

    @Test
    public void aCrashDuringAStoreOutageIsStoredOnItsReturn() {
        Router one = router("one");
        one.mStore.mAway = true;
        one.crash(1, 2, 3);
        mTime.advance(10_000);
        assertEquals(rows(), 0);
        one.mStore.mAway = false;
        mTime.advance(1000);
        assertTrue(router("later").isQuarantined());
    }

    @Test
    public void aWriteWithALostAnswerIsRepeated() {
        Router one = router("one");
        one.mStore.mCarrier = (work, answer) -> answer.run();
        one.crash(1, 2, 3);
        mTime.advance(1000);
        one.mStore.mCarrier =
                (work, answer) -> {
                    work.run();
                    answer.run();
                };
        mTime.advance(1000);
        assertTrue(router("later").isQuarantined());
    }

    /**
     * Guards against a crash record that no router stores: each router found one crash, which is
     * too few to be stored.
     */
    @Test
    public void crashesFoundByThreeRoutersAtTheSameTimeAreStored() {
        List<Router> routers = List.of(router("one"), router("two"), router("three"));
        for (int number = 0; number < routers.size(); number++) {
            routers.get(number).crash(number);
        }
        for (Router router : routers) {
            CrashRecord found = router.mQuarantine.records().get(REQUEST);
            routers.forEach(each -> each.mQuarantine.merge(new CrashReport(REQUEST, found)));
        }
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(router("later").isQuarantined());
    }

    /**
     * Guards against removing a row that this router wrote: a table sent by another router may be
     * older.
     */
    @Test
    public void aTableOlderThanTheRowRemovesNothing() {
        Router one = router("one");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis() / 10);
        assertEquals(rows(), 1);
        one.mTable.onSnapshot(List.of());
        assertTrue(one.isQuarantined());
    }

    @Test
    public void aSingleCrashWritesNoRow() {
        Router one = router("one");
        one.crash(1);
        mTime.advance(1000);
        assertEquals(rows(), 0);
        one.crash(2);
        mTime.advance(1000);
        assertEquals(rows(), 1);
    }

    @Test
    public void aClearedRequestIsClearedEverywhere() {
        Router one = router("one");
        Router other = router("other");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertEquals(other.mQuarantine.clear(REQUEST.shortName()), 1);
        mTime.advance(SETTINGS.knownMillis());
        assertFalse(one.isQuarantined());
        assertFalse(router("later").isQuarantined());
    }

    @Test
    public void aRowDeletedByAnOperatorClearsTheRequest() {
        Router one = router("one");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        mRows.drop(new Key(QuarantineTable.TABLE, "", REQUEST.value()));
        mTime.advance(SETTINGS.knownMillis());
        assertFalse(one.isQuarantined());
    }

    @Test
    public void expiredRowsAreDeleted() {
        router("one").crash(1, 2, 3);
        mTime.advance(55_000);
        assertEquals(rows(), 1);
        mTime.advance(12_000);
        assertEquals(rows(), 0);
    }

    @Test
    public void foreignRowsNameNoRequest() {
        mRows.put(new Key(QuarantineTable.TABLE, "", "foreign"), "[0,[]]");
        mRows.put(new Key(QuarantineTable.TABLE, "", REQUEST.value()), "%%");
        Router one = router("one");
        assertTrue(one.mQuarantine.isEmpty());
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(router("later").isQuarantined());
    }
}
