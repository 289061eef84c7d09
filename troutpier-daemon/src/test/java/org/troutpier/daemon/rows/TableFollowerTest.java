package org.troutpier.daemon.rows;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.node.ManualTime;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** How a table is followed by a router's own reads and by pages that others share. */
public final class TableFollowerTest {

    private static final String TABLE = "table";
    private static final long PAUSE = 700;
    private static final long SHARED = 1000;

    private ManualTime mTime;
    private VersionedRows mRows;
    private FakeRowStore mStore;
    private List<String> mTold;
    private List<Long> mShared;
    private List<String> mSharedKeys;
    private int mPages;
    private TableFollower mFollower;

    @BeforeMethod
    void start() {
        mTime = new ManualTime();
        mRows = new VersionedRows();
        mStore = new FakeRowStore(mRows);
        mTold = new ArrayList<>();
        mShared = new ArrayList<>();
        mSharedKeys = new ArrayList<>();
        mPages = 0;
        mFollower =
                new TableFollower(
                        mTime.control(),
                        mStore,
                        TABLE,
                        new TableFollower.Pace(1, PAUSE, SHARED),
                        new Listener(),
                        (after, version, rows) -> {
                            mShared.add(version);
                            rows.forEach(row -> mSharedKeys.add(row.key()));
                        },
                        mTime::nanos);
        put("a");
        mFollower.start();
        mTime.pass(10);
    }

    /** Keeps what it is told. */
    private final class Listener implements TableFollower.Listener {

        @Override
        public void whole(List<Row> rows) {
            rows.forEach(row -> mTold.add(row.key()));
        }

        @Override
        public void changed(List<Row> rows) {
            mPages++;
            rows.forEach(row -> mTold.add(row.key()));
        }

        @Override
        public void lost() {
            mTold.add("lost");
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
        mFollower.shared(before, mRows.version(), List.of(row(key, mRows.version())));
    }

    @Test
    public void whatThisRouterReadIsShared() {
        put("b");
        mTime.pass(PAUSE);
        assertEquals(mTold, List.of("a", "b"));
        assertEquals(mShared, List.of(mRows.version()));
    }

    @Test
    public void aRowThatSaysNothingNewIsSharedTooSinceAnotherMayHaveMissedIt() {
        put("a");
        mTime.pass(PAUSE);
        assertEquals(mSharedKeys, List.of("a"));
    }

    @Test
    public void aSharedPageMakesTheNextReadNeedlessForAWhile() {
        share("b");
        assertEquals(mTold, List.of("a", "b"));
        mTime.pass(SHARED - 20);
        assertEquals(mPages, 1);
        mTime.pass(40);
        assertEquals(mPages, 2);
        assertEquals(mTold, List.of("a", "b"));
    }

    @Test
    public void aSharedPageBehindAGapIsNotTaken() {
        put("b");
        share("c");
        assertEquals(mTold, List.of("a"));
        mTime.pass(PAUSE);
        assertEquals(mTold, List.of("a", "b", "c"));
    }

    @Test
    public void aSharedPageThatIsOlderThanWhatIsKnownDelaysNoRead() {
        long before = mRows.version();
        put("b");
        mTime.pass(PAUSE);
        assertEquals(mPages, 1);
        mTime.pass(PAUSE - 50);
        mFollower.shared(before - 1, before, List.of(row("a", before)));
        mTime.pass(60);
        assertEquals(mPages, 2);
        assertEquals(mTold, List.of("a", "b"));
    }

    @Test
    public void aSharedPageWithoutChangesMakesTheNextReadNeedlessToo() {
        long version = mRows.version();
        mTime.pass(PAUSE - 50);
        mFollower.shared(version, version, List.of());
        mTime.pass(200);
        assertEquals(mPages, 0);
    }

    @Test
    public void aRouterThatTheStoreTurnsAwayFollowsByPages() {
        mStore.mAway = true;
        mTime.pass(PAUSE);
        share("b");
        assertEquals(mTold, List.of("a", "lost", "b"));
    }

    /**
     * A router could not reach the store for twelve seconds. Its call of just before the return
     * hung for the whole limit of a second and was tried again half a second later, so the list of
     * upstreams was read 1.4 s after the store answered others' calls and this router's other
     * tables.
     */
    @Test
    public void theReturnOfAStoreThatWasSilentIsNoticedThoughACallStillHangs() {
        mStore.mSilent = true;
        mTime.pass(PAUSE);
        mTime.pass(1000);
        mStore.timeOut();
        mTime.pass(600);
        put("b");
        mStore.mSilent = false;
        mTime.pass(500);
        assertEquals(mTold, List.of("a", "lost", "b"));
    }
}
