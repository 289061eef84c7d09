package org.troutpier.daemon.rows;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** How a table is followed by a router's own reads and by changes that other routers share. */
public final class TableFollowerTest {

    private static final String TABLE = "table";
    private static final long PAUSE = 700;
    private static final long SHARED = 1000;
    private static final long RETRY = 400;

    private ManualClock mTime;
    private VersionedRows mRows;
    private FakeRowStore mStore;
    private List<String> mReceived;
    private List<Long> mShared;
    private List<String> mSharedKeys;
    private int mPages;
    private long mSince;
    private List<Long> mConfirmedAt;
    private ManualClock.PausableControlExecutor mControl;
    private TableFollower mFollower;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mRows = new VersionedRows();
        mStore = new FakeRowStore(mRows);
        mReceived = new ArrayList<>();
        mShared = new ArrayList<>();
        mSharedKeys = new ArrayList<>();
        mPages = 0;
        mConfirmedAt = new ArrayList<>();
        mControl = mTime.control();
        mFollower =
                new TableFollower(
                        mControl,
                        mStore,
                        TABLE,
                        new TableFollower.PollTiming(1, PAUSE, SHARED, RETRY),
                        new Listener(),
                        (after, version, unbrokenMillis, rows) -> {
                            mShared.add(version);
                            rows.forEach(row -> mSharedKeys.add(row.key()));
                        },
                        mTime::millis);
        put("a");
        mFollower.start();
        mTime.advance(10);
    }

    /** Records what it receives. */
    private final class Listener implements TableFollower.Listener {

        @Override
        public void onConfirmed(boolean own, long at, long since) {
            mConfirmedAt.add(at);
            mSince = since;
        }

        @Override
        public void onRestored() {
            mReceived.add("restored");
        }

        @Override
        public void onSnapshot(List<Row> rows) {
            rows.forEach(row -> mReceived.add(row.key()));
        }

        @Override
        public void onChanges(List<Row> rows) {
            mPages++;
            rows.forEach(row -> mReceived.add(row.key()));
        }

        @Override
        public void onStoreUnavailable() {
            mReceived.add("lost");
        }
    }

    private void put(String key) {
        mRows.put(new Key(TABLE, "", key), "");
    }

    private static Row row(String key, long version) {
        return new Row(TABLE, "", key, new byte[0], version, false);
    }

    private void share(String key) {
        long before = mRows.version();
        put(key);
        mFollower.applyShared(before, mRows.version(), 0, List.of(row(key, mRows.version())));
    }

    /** Guards against taking an answer for fresh that waited in the socket of a paused process. */
    @Test
    public void anAnswerConfirmsTheTimeOfItsCallHoweverLateItIsProcessed() {
        long sentAt = mTime.millis() - 10 + PAUSE;
        put("b");
        mTime.loop().schedule(() -> mControl.pause(true), PAUSE - 10);
        mTime.advance(PAUSE + 3000);
        mConfirmedAt.clear();
        mControl.pause(false);
        mTime.advance(1);
        assertEquals(mReceived, List.of("a", "b"));
        assertEquals((long) mConfirmedAt.get(0), sentAt);
        assertTrue(mFollower.stateSince(0).isEmpty(), "sent to other routers as recent");
    }

    @Test
    public void whatThisRouterReadIsShared() {
        put("b");
        mTime.advance(PAUSE);
        assertEquals(mReceived, List.of("a", "b"));
        assertEquals(mShared, List.of(mRows.version()));
    }

    @Test
    public void aRowWithoutNewsIsSharedTooSinceAnotherRouterMayHaveMissedIt() {
        put("a");
        mTime.advance(PAUSE);
        assertEquals(mSharedKeys, List.of("a"));
    }

    @Test
    public void aSharedPagePostponesTheNextRead() {
        share("b");
        assertEquals(mReceived, List.of("a", "b"));
        mTime.advance(SHARED - 20);
        assertEquals(mPages, 1);
        mTime.advance(40);
        assertEquals(mPages, 2);
        assertEquals(mReceived, List.of("a", "b"));
    }

    @Test
    public void aSharedPageBehindAGapIsIgnored() {
        put("b");
        share("c");
        assertEquals(mReceived, List.of("a"));
        mTime.advance(PAUSE);
        assertEquals(mReceived, List.of("a", "b", "c"));
    }

    @Test
    public void aSharedPageOlderThanTheKnownVersionPostponesNoRead() {
        long before = mRows.version();
        put("b");
        mTime.advance(PAUSE);
        assertEquals(mPages, 1);
        mTime.advance(PAUSE - 50);
        mFollower.applyShared(before - 1, before, 0, List.of(row("a", before)));
        mTime.advance(60);
        assertEquals(mPages, 2);
        assertEquals(mReceived, List.of("a", "b"));
    }

    @Test
    public void aSharedPageWithoutChangesPostponesTheNextReadToo() {
        long version = mRows.version();
        mTime.advance(PAUSE - 50);
        mFollower.applyShared(version, version, 0, List.of());
        mTime.advance(200);
        assertEquals(mPages, 0);
    }

    @Test
    public void aRouterThatTheStoreRefusesFollowsBySharedPages() {
        mStore.mAway = true;
        mTime.advance(PAUSE);
        share("b");
        assertEquals(mReceived, List.of("a", "lost", "b"));
    }

    /**
     * A call that hung when the store returned delayed the next read: after an outage of twelve
     * seconds, a router's last call before the return hung for its whole time limit of one second
     * and was repeated half a second later. The list of upstreams was read 1.4 s after the store
     * had answered other routers' calls and this router's other tables.
     */
    @Test
    public void theReturnOfASilentStoreIsDetectedWhileACallStillHangs() {
        mStore.mSilent = true;
        mTime.advance(PAUSE);
        mTime.advance(1000);
        mStore.timeOut();
        mTime.advance(600);
        put("b");
        mStore.mSilent = false;
        mTime.advance(500);
        assertEquals(mReceived, List.of("a", "lost", "b"));
    }

    @Test
    public void aTableOfALaterEraIsReadWholeEvenIfItsNumbersAreLower() {
        VersionedRows.Copy copy = mRows.copy();
        put("b");
        put("c");
        mTime.advance(PAUSE);
        long returned = mTime.millis();
        mRows.restore(copy);
        put("d");
        mTime.advance(3 * PAUSE);
        assertEquals(mReceived, List.of("a", "b", "c", "restored", "a", "d"));
        assertTrue(mSince >= returned, "reading was interrupted");
    }

    @Test
    public void twoConsecutiveRestoresAreBothDetected() {
        VersionedRows.Copy copy = mRows.copy();
        put("b");
        mTime.advance(PAUSE);
        mRows.restore(copy);
        mRows.restore(copy);
        mTime.advance(2 * PAUSE);
        mRows.restore(copy);
        mTime.advance(2 * PAUSE);
        assertEquals(mReceived, List.of("a", "b", "restored", "a", "restored", "a"));
    }

    @Test
    public void aSharedPageOfALaterEraCausesAReadOfTheWholeTable() {
        VersionedRows.Copy copy = mRows.copy();
        put("b");
        mTime.advance(PAUSE);
        mRows.restore(copy);
        long version = StoreVersion.of(1, mRows.version());
        mFollower.applyShared(version, version, 0, List.of());
        mTime.advance(310);
        assertEquals(mReceived, List.of("a", "b", "restored", "a"));
    }

    @Test
    public void peerStateOfAnEarlierEraIsIgnored() {
        VersionedRows.Copy copy = mRows.copy();
        put("b");
        mTime.advance(PAUSE);
        mRows.restore(copy);
        mTime.advance(2 * PAUSE);
        mFollower.applyPeerState(state(mRows.version() + 100, 0, 5000, "z"));
        assertEquals(mReceived, List.of("a", "b", "restored", "a"));
    }

    @Test
    public void anOlderAnswerIsNotRequestedAgainAtOnce() {
        put("b");
        mTime.advance(PAUSE);
        mFollower.applyPeerState(state(mRows.version() + 100, 0, 5000, "b"));
        int before = mPages;
        mTime.advance(10 * PAUSE);
        assertTrue(mPages - before <= 10, "reads " + (mPages - before));
    }

    private static TableState state(long version, long age, long unbroken, String... keys) {
        List<Row> rows = Stream.of(keys).map(key -> row(key, version)).toList();
        return new TableState(version, age, unbroken, keys.length > 0, rows);
    }

    @Test
    public void stateOfAPeerThatReadWithoutInterruptionIsConfirmedForAsLong() {
        mStore.mSilent = true;
        mTime.advance(3000);
        mFollower.applyPeerState(state(mRows.version() + 1, 40, 5000, "b"));
        assertEquals(mReceived, List.of("a", "b"));
        assertEquals(mSince, mTime.millis() - 5040);
    }

    @Test
    public void stateOfAPeerThatHasJustBegunToReadIsConfirmedForNoLonger() {
        mStore.mSilent = true;
        mTime.advance(3000);
        mFollower.applyPeerState(state(mRows.version() + 1, 40, 10, "b"));
        assertEquals(mSince, mTime.millis() - 50);
    }

    @Test
    public void olderPeerStateIsIgnored() {
        put("b");
        mTime.advance(PAUSE);
        long since = mSince;
        mFollower.applyPeerState(state(mRows.version() - 1, 0, 5000, "c"));
        assertEquals(mReceived, List.of("a", "b"));
        assertEquals(mSince, since);
    }

    @Test
    public void anUnchangedTableIsSentWithoutItsRows() {
        long version = mRows.version();
        mTime.advance(PAUSE / 2);
        TableState state = mFollower.stateSince(version).orElseThrow();
        assertFalse(state.whole());
        assertTrue(mFollower.stateSince(version - 1).orElseThrow().whole());
        mStore.mSilent = true;
        mTime.advance(SHARED);
        assertTrue(mFollower.stateSince(version).isEmpty(), "too old to be sent");
    }

    @Test
    public void aReadOlderThanPeerStateIsIgnored() {
        mStore.mSilent = true;
        mTime.advance(3000);
        mFollower.applyPeerState(state(mRows.version() + 5, 0, 5000, "b"));
        mStore.mSilent = false;
        mTime.advance(2000);
        assertEquals(mReceived, List.of("a", "b"));
    }
}
