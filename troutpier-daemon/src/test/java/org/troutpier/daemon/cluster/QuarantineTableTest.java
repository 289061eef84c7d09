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

/** Routers that hear of each other through the store only know which requests are not run. */
public final class QuarantineTableTest {

    private static final QuarantineSettings SETTINGS = new QuarantineSettings(3, 60, 3000, "");
    private static final RequestFingerprint GUILTY =
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
            PeerExchange exchange = new LoneRouter(node).mExchange;
            mTable =
                    new QuarantineTable(
                            node, mStore, exchange, SETTINGS, mQuarantine, Runnable::run);
            mTable.start();
        }

        void crash(int... upstreams) {
            for (int upstream : upstreams) {
                mQuarantine.recordCrash(GUILTY, UpstreamIncarnation.of("upstream-" + upstream));
            }
        }

        boolean holds() {
            return mQuarantine.isQuarantined(GUILTY);
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
    public void aRouterThatNobodyToldKnowsWithinTheTimeThatIsSet() {
        Router one = router("one");
        Router other = router("other");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(other.holds());
    }

    @Test
    public void endsThatTwoRoutersWriteAtTheSameTimeCountTogether() {
        Router one = router("one");
        Router other = router("other");
        one.crash(1, 2);
        other.crash(3, 4);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(one.holds() && other.holds());
        assertEquals(one.mQuarantine.records(), other.mQuarantine.records());
        assertEquals(one.mQuarantine.records().get(GUILTY).ended().size(), 4);
    }

    @Test
    public void aRouterThatStartsAfterAllHaveLostTheirMemoryKnows() {
        router("one").crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(router("later").holds());
    }

    @Test
    public void whatACopyLacksStaysKnownAndIsStoredAgain() {
        Router one = router("one");
        VersionedRows.Copy copy = mRows.copy();
        one.crash(1, 2, 3);
        mTime.advance(2L * SETTINGS.knownMillis());
        assertEquals(rows(), 1);
        mRows.restore(copy);
        assertEquals(rows(), 0);
        mTime.advance(3L * SETTINGS.knownMillis());
        assertTrue(one.holds());
        assertEquals(rows(), 1);
        assertTrue(router("later").holds());
    }

    @Test
    public void aRouterThatStoodStillKnowsSoonAfterItGoesOn() {
        Router one = router("one");
        Router still = router("still");
        still.mControl.pause(true);
        one.crash(1, 2, 3);
        mTime.advance(10_000);
        assertFalse(still.holds());
        still.mControl.pause(false);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(still.holds());
    }

    @Test
    public void whatIsFoundOutWhileTheStoreIsAwayIsToldOnItsReturn() {
        Router one = router("one");
        one.mStore.mAway = true;
        one.crash(1, 2, 3);
        mTime.advance(10_000);
        assertEquals(rows(), 0);
        one.mStore.mAway = false;
        mTime.advance(1000);
        assertTrue(router("later").holds());
    }

    @Test
    public void aWriteWhoseAnswerWasLostIsMadeSure() {
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
        assertTrue(router("later").holds());
    }

    /** Each knows of one end when it finds it, so none of them stored it. */
    @Test
    public void endsThatThreeRoutersFindInTheSameMomentAreStoredToo() {
        List<Router> routers = List.of(router("one"), router("two"), router("three"));
        for (int number = 0; number < routers.size(); number++) {
            routers.get(number).crash(number);
        }
        for (Router router : routers) {
            CrashRecord found = router.mQuarantine.records().get(GUILTY);
            routers.forEach(each -> each.mQuarantine.merge(new CrashReport(GUILTY, found)));
        }
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(router("later").holds());
    }

    /** What another router tells of the table may be older than what this one wrote. */
    @Test
    public void aTableFromBeforeTheRowWasWrittenForgetsNothing() {
        Router one = router("one");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis() / 10);
        assertEquals(rows(), 1);
        one.mTable.onSnapshot(List.of());
        assertTrue(one.holds());
    }

    @Test
    public void aSingleEndIsNoRow() {
        Router one = router("one");
        one.crash(1);
        mTime.advance(1000);
        assertEquals(rows(), 0);
        one.crash(2);
        mTime.advance(1000);
        assertEquals(rows(), 1);
    }

    @Test
    public void aRequestThatIsClearedIsClearedEverywhere() {
        Router one = router("one");
        Router other = router("other");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertEquals(other.mQuarantine.clear(GUILTY.shortName()), 1);
        mTime.advance(SETTINGS.knownMillis());
        assertFalse(one.holds());
        assertFalse(router("later").holds());
    }

    @Test
    public void aRowThatAnOperatorDeletesClearsIt() {
        Router one = router("one");
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        mRows.drop(new Key(QuarantineTable.TABLE, "", GUILTY.value()));
        mTime.advance(SETTINGS.knownMillis());
        assertFalse(one.holds());
    }

    @Test
    public void rowsAreDeletedWhenTheirTimeIsOver() {
        router("one").crash(1, 2, 3);
        mTime.advance(55_000);
        assertEquals(rows(), 1);
        mTime.advance(12_000);
        assertEquals(rows(), 0);
    }

    @Test
    public void rowsOfAnotherWriterNameNoRequest() {
        mRows.put(new Key(QuarantineTable.TABLE, "", "foreign"), "[0,[]]");
        mRows.put(new Key(QuarantineTable.TABLE, "", GUILTY.value()), "%%");
        Router one = router("one");
        assertTrue(one.mQuarantine.isEmpty());
        one.crash(1, 2, 3);
        mTime.advance(SETTINGS.knownMillis());
        assertTrue(router("later").holds());
    }
}
