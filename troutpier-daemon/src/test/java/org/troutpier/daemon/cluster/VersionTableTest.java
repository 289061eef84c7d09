package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;

/** What routers that share only the store know of the versions that served. */
public final class VersionTableTest {

    private ManualClock mTime;
    private VersionedRows mRows;

    /** A router that no other reaches. */
    private final class Router {

        final VersionedRouter mRouter;

        Router(String name, String... versions) {
            mRouter = new VersionedRouter(name, mTime, new FakeRowStore(mRows));
            list(versions);
            mRouter.mVersions.start();
            mTime.advance(3 * VersionTable.TICK_MILLIS);
            list(versions);
        }

        void list(String... versions) {
            mRouter.list(List.of(versions));
        }

        Optional<String> onlyVersion() {
            mRouter.mVersions.refresh(read -> {});
            mTime.advance(1);
            return mRouter.mVersions
                    .onlyVersion(VersionedRouter.SERVICE)
                    .map(SoftwareVersion::value);
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mRows = new VersionedRows();
    }

    @Test
    public void aRouterStartedAfterALossOfAllKnowsTheOnlyVersion() {
        new Router("one", "v1");
        assertEquals(new Router("later", "v1").onlyVersion(), Optional.of("v1"));
    }

    @Test
    public void aVersionThatIsGoneCountsUntilItsStreamsCannotBeResumed() {
        Router one = new Router("one", "v1", "v2");
        Router later = new Router("later", "v2");
        assertEquals(later.onlyVersion(), Optional.empty());
        one.list("v2");
        mTime.advance(VersionTable.MIN_RETENTION_MILLIS + 3 * VersionTable.TICK_MILLIS);
        later.list("v2");
        assertEquals(later.onlyVersion(), Optional.of("v2"));
    }

    @Test
    public void anOldListOfEnginesTellsNoOnlyVersion() {
        Router router = new Router("one", "v1");
        assertEquals(router.onlyVersion(), Optional.of("v1"));
        mTime.advance(VersionTable.MAX_DIRECTORY_AGE_MILLIS + 1);
        assertEquals(router.onlyVersion(), Optional.empty());
    }

    /** Guards against relying on a row whose content is lost. */
    @Test
    public void aRowThatCannotBeReadMayHaveHadAnyVersion() {
        new Router("one", "v1");
        mRows.put(new VersionedRows.Key(VersionTable.TABLE, "", VersionedRouter.SERVICE), "broken");
        Router later = new Router("later", "v1");
        assertEquals(later.onlyVersion(), Optional.empty());
        assertEquals(new Router("last", "v1").onlyVersion(), Optional.empty());
        mTime.advance(VersionTable.MIN_RETENTION_MILLIS + 3 * VersionTable.TICK_MILLIS);
        later.list("v1");
        assertEquals(later.onlyVersion(), Optional.of("v1"));
    }

    /** Guards against versions that a copy of the store lacks. */
    @Test
    public void afterARestoreAnyVersionMayHaveServed() {
        Router one = new Router("one", "v1");
        VersionedRows.Copy copy = mRows.copy();
        one.list("v1", "v2");
        mTime.advance(VersionTable.TICK_MILLIS);
        one.list("v1");
        mRows.restore(copy);
        mTime.advance(30_000);
        one.list("v1");
        assertEquals(new Router("later", "v1").onlyVersion(), Optional.empty());
    }
}
