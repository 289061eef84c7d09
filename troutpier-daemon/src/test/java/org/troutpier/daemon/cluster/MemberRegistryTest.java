package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** Tests how a router registers and finds the others, also with foreign rows in their table. */
public final class MemberRegistryTest {

    private static final String TABLE = "troutpier_members";

    private ManualClock mTime;
    private VersionedRows mRows;
    private List<Integer> mCounts;
    private IsolatedRouter mRouter;
    private int mReads;
    private int mWrites;
    private int mFirstStarts;

    /** A store that counts calls. */
    private final class CountingStore implements RowStore {

        private final FakeRowStore mStore = new FakeRowStore(mRows);

        @Override
        public CompletableFuture<RowPage> read(String table, String part) {
            mReads++;
            return mStore.read(table, part);
        }

        @Override
        public CompletableFuture<RowPage> pollChanges(String table, long after, int waitMillis) {
            mReads++;
            return mStore.pollChanges(table, after, waitMillis);
        }

        @Override
        public CompletableFuture<WriteResult> write(Row row, long expectedVersion) {
            mWrites++;
            return mStore.write(row, expectedVersion);
        }

        @Override
        public CompletableFuture<WriteResult> delete(Row row) {
            mWrites++;
            return mStore.delete(row);
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mRows = new VersionedRows();
        mCounts = new ArrayList<>();
        startRouter();
    }

    private void startRouter() {
        mReads = 0;
        mWrites = 0;
        mFirstStarts = 0;
        Node node = TestNode.of("self", mTime.control(), mTime::nanos);
        mRouter = new IsolatedRouter(node);
        new MemberRegistry(
                        node,
                        new CountingStore(),
                        IsolatedRouter.ADDRESS,
                        RouterCapacity.of(1, 1000),
                        mRouter.mExchange,
                        mCounts::add,
                        () -> mFirstStarts++)
                .start();
        mTime.advance(1000);
    }

    @Test
    public void aFirstStartIsDistinguishedFromARestart() {
        assertEquals(mFirstStarts, 1);
        startRouter();
        assertEquals(mFirstStarts, 0);
    }

    @Test
    public void aRowMissingInARestoredStoreIsWrittenAgain() {
        VersionedRows.Copy empty = new VersionedRows().copy();
        mRows.restore(empty);
        mTime.advance(8000);
        assertTrue(mRows.row(new Key(TABLE, "", "self")).isPresent());
        assertEquals(mWrites, 2);
    }

    @Test
    public void aRowOfARestoredStoreIsNotWrittenAgain() {
        VersionedRows.Copy copy = mRows.copy();
        put("other", member("other"));
        mTime.advance(6000);
        mRows.restore(copy);
        mTime.advance(8000);
        assertEquals(mWrites, 1);
    }

    /**
     * Guards against a second write: the first one conflicted with the row of the router's earlier
     * start.
     */
    @Test
    public void aRestartedRouterWritesItsRowOnce() {
        startRouter();
        assertEquals(mWrites, 1);
        String row = mRows.row(new Key(TABLE, "", "self")).orElseThrow().value();
        assertTrue(row.contains("self~"), row);
    }

    /** Guards against each router reading the table after each start of another. */
    @Test
    public void aRouterThatReceivesPagesDoesNotReadTheTable() {
        Member reader =
                new Member(new Incarnation("reader~1"), new HallId("hall"), "127.0.0.1:8", false);
        mReads = 0;
        for (int number = 0; number < 20; number++) {
            long before = mRows.version();
            String name = "other" + number;
            put(name, member(name));
            List<Row> rows =
                    List.of(
                            new Row(
                                    TABLE,
                                    "",
                                    name,
                                    member(name).getBytes(StandardCharsets.UTF_8),
                                    mRows.version(),
                                    false));
            SharedPage page = new SharedPage(TABLE, before, mRows.version(), 0, rows);
            mRouter.mExchange.onMessage(reader, new PeerMessage.Page(page));
            mTime.advance(400);
            assertTrue(mRouter.mConnected.contains(name), "connected to " + mRouter.mConnected);
        }
        assertTrue(mReads <= 1, "calls " + mReads);
    }

    private void put(String key, String value) {
        mRows.put(new Key(TABLE, "", key), value);
    }

    private static String member(String name) {
        return new String(Json.bytes(new MemberRow(name, name + "~1", "127.0.0.1:7", "hall", 10)));
    }

    @DataProvider
    public static Object[][] foreign() {
        return new Object[][] {
            {"other", ""},
            {"other", "no JSON"},
            {"other", "[]"},
            {"other", "{}"},
            {"other", member("another")},
            {"other", member("other").replace("other~1", "other")},
            {"other", member("other").replace("127.0.0.1:7", "nowhere")},
            {"other", member("other").replace("127.0.0.1:7", "127.0.0.1:0")},
            {"other", member("other").replace("\"hall\"", "5.5e")},
            {"other", member("other").replace("10}", "-10}")},
            {"other", member("other").replace("10}", "1e40}")},
            {"", member("other")},
            {"a b", member("other")},
        };
    }

    @Test(dataProvider = "foreign")
    public void aForeignRowNamesNoRouterAndOtherRoutersAreFound(String key, String value) {
        put(key, value);
        put("third", member("third"));
        mTime.advance(2000);
        assertTrue(mRouter.mConnected.contains("third"), "connected to " + mRouter.mConnected);
        assertTrue(!mRouter.mConnected.contains("other"), "connected to " + mRouter.mConnected);
        assertEquals(mCounts.get(mCounts.size() - 1), Integer.valueOf(2));
    }

    @Test
    public void aKnownRouterRemainsKnownWhenItsRowIsOverwritten() {
        put("other", member("other"));
        mTime.advance(2000);
        put("other", "no JSON");
        mTime.advance(2000);
        mRouter.mConnected.clear();
        mTime.advance(5000);
        assertTrue(mRouter.mConnected.contains("other"), "connected to " + mRouter.mConnected);
    }

    @Test
    public void theOwnRowIsWrittenAgain() {
        Key self = new Key(TABLE, "", "self");
        String own = mRows.row(self).orElseThrow().value();
        put("self", "no JSON");
        mTime.advance(2000);
        assertEquals(mRows.row(self).orElseThrow().value(), own);
        mRows.drop(self);
        mTime.advance(2000);
        assertEquals(mRows.row(self).orElseThrow().value(), own);
    }
}
