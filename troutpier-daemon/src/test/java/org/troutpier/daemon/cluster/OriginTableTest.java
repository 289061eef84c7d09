package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.resume.OriginStore;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;

/** What is stored of the streams of one router, and when. */
public final class OriginTableTest {

    private static final StreamOrigin ORIGIN =
            new StreamOrigin(VersionedRouter.SERVICE, new SoftwareVersion("v1"));

    private ManualClock mTime;
    private FakeRowStore mStore;
    private VersionedRouter mRouter;
    private OriginTable mTable;
    private int mBegun;
    private int mRouters;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mStore = new FakeRowStore(new VersionedRows());
        mBegun = 0;
        mRouters = 7;
        startRouter("one");
        list("v1");
        mTime.advance(3 * VersionTable.TICK_MILLIS);
    }

    private void startRouter(String name) {
        mRouter = new VersionedRouter(name, mTime, mStore);
        mRouter.mVersions.start();
        mTable =
                new OriginTable(
                        mRouter.mNode, mStore, mRouter.mVersions, () -> mRouters, () -> true);
        mTable.start();
    }

    private void list(String... versions) {
        mRouter.list(List.of(versions));
    }

    private void begin(int streams) {
        for (int stream = 0; stream < streams; stream++) {
            mTable.add(new RequestId("s" + mBegun++), ORIGIN);
        }
    }

    private int rows() {
        return mStore.mRows.read(OriginTable.TABLE, OriginTable.PART, "", 1000).rows().size();
    }

    /** Returns how many of the streams that have begun a router finds in the store. */
    private int found() {
        List<Optional<StreamOrigin>> found = new ArrayList<>();
        for (int stream = 0; stream < mBegun; stream++) {
            mTable.find(new RequestId("s" + stream), answer -> found.add(answer.origin()));
        }
        mTime.advance(1);
        assertEquals(found.size(), mBegun);
        return (int) found.stream().filter(Optional.of(ORIGIN)::equals).count();
    }

    /** Guards against writes for services whose streams all follow from the only version. */
    @Test
    public void nothingIsStoredWhileOneVersionServes() {
        begin(10);
        mTime.advance(10_000);
        assertEquals(rows(), 0);
    }

    /** Guards against losing the streams that began before a release. */
    @Test
    public void streamsThatBeganBeforeTheDoubtAreStoredWithIt() {
        begin(1200);
        list("v1", "v2");
        begin(1);
        mTime.advance(8 * OriginTable.MIN_FLUSH_MILLIS);
        startRouter("two");
        assertEquals(found(), 1201);
        assertTrue(rows() > 2, "rows " + rows());
    }

    /** Guards against a batch that is lost because the store did not take it. */
    @Test
    public void aBatchThatTheStoreDidNotTakeIsStoredLater() {
        list("v1", "v2");
        mTime.advance(1);
        mStore.mAway = true;
        begin(3);
        mTime.advance(5000);
        mStore.mAway = false;
        mTime.advance(2000);
        assertEquals(found(), 3);
    }

    /** Guards against more writes than the store takes from a large fleet. */
    @Test
    public void aLargeFleetStoresNothing() {
        mRouters = OriginTable.MAX_ROUTERS + 1;
        list("v1", "v2");
        begin(3);
        mTime.advance(60_000);
        assertEquals(rows(), 0);
    }

    /** Guards against rows that outlive their streams, also those of ended routers. */
    @Test
    public void rowsAreRemovedOnceTheirStreamsCannotBeResumed() {
        list("v1", "v2");
        begin(3);
        mTime.advance(1000);
        startRouter("two");
        list("v1", "v2");
        begin(3);
        mTime.advance(1000);
        assertEquals(rows(), 2);
        mTime.advance(2 * VersionTable.MIN_RETENTION_MILLIS);
        assertEquals(rows(), 0);
    }

    /** Guards against taking a store that does not answer for one without a record. */
    @Test
    public void aStoreThatDoesNotAnswerIsNotRead() {
        mStore.mAway = true;
        List<OriginStore.Answer> answers = new ArrayList<>();
        mTable.find(new RequestId("s0"), answers::add);
        mTime.advance(1);
        assertEquals(answers, List.of(OriginStore.Answer.UNREAD));
    }
}
