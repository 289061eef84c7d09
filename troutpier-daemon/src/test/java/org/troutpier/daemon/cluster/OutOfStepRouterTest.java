package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;

/**
 * Releases during which one router is partitioned or suspended. Another router begins streams of
 * the new version, which are resumed at the first one. Drawn series in virtual time.
 */
public final class OutOfStepRouterTest {

    private static final String SERVICE = VersionedRouter.SERVICE;
    private static final int SERIES = 200;
    private static final int STEP_MILLIS = 10;
    private static final int LIST_MILLIS = 700;
    private static final int STORE_MILLIS = 4;
    private static final int OUT_OF_STEP_MILLIS = 4000;

    /** How long before the new version joins the router is in step at the least. */
    private static final int MAX_LEAD_MILLIS = 1200;

    private static final int BEGIN_MILLIS = 50;

    /** From the begin of a stream to its resumption: the break alone, before the lookup. */
    private static final int BREAK_MILLIS = 100;

    /** Interval of resumptions that name no attempt, and so are decided at once. */
    private static final int UNNAMED_MILLIS = 300;

    /** A router with a path of its own to the store. Test thread only. */
    private static final class Router {

        final FakeRowStore mStore;
        final VersionedRouter mRouter;
        final StreamOrigins mOrigins;

        Router(String name, ManualClock time, VersionedRows rows) {
            mStore = new FakeRowStore(rows);
            mStore.mCarrier =
                    (work, answer) -> {
                        work.run();
                        time.loop().schedule(answer, STORE_MILLIS);
                    };
            mRouter = new VersionedRouter(name, time, mStore);
            mOrigins = new StreamOrigins(mRouter.mControl, time::millis, new MetricRegistry());
            mOrigins.setVersions(mRouter.mVersions);
            mRouter.mVersions.start();
        }

        void readList(Set<String> listed) {
            if (!mStore.mAway) {
                mRouter.mControl.execute(() -> mRouter.list(listed));
            }
        }
    }

    /** One release. Test thread only. */
    private static final class Series {

        final ManualClock mTime = new ManualClock();
        final VersionedRows mRows = new VersionedRows();
        final Router mInStep = new Router("router-1", mTime, mRows);
        final Router mOutOfStep = new Router("router-2", mTime, mRows);
        final Set<String> mListed = new TreeSet<>(Set.of("v1"));
        final Random mRandom;
        int mBegun;
        int mJoined;
        int mWentOn;

        Series(long seed) {
            mRandom = new Random(seed);
        }

        void run(long millis, Runnable step) {
            for (long end = mTime.millis() + millis; mTime.millis() < end; ) {
                mTime.advance(STEP_MILLIS);
                if (mTime.millis() % LIST_MILLIS < STEP_MILLIS) {
                    mInStep.readList(Set.copyOf(mListed));
                    mOutOfStep.readList(Set.copyOf(mListed));
                }
                if (mTime.millis() % UNNAMED_MILLIS < STEP_MILLIS) {
                    takeUp(Optional.empty(), "v1");
                }
                step.run();
            }
        }

        /** Takes a stream up at the router that is out of step. */
        void takeUp(Optional<RequestId> attempt, String begunAt) {
            mOutOfStep.mOrigins.resolve(
                    attempt,
                    SERVICE,
                    found -> {
                        Optional<String> version =
                                found.origin().map(origin -> origin.version().value());
                        mJoined += version.isPresent() && !version.get().equals(begunAt) ? 1 : 0;
                        mWentOn += version.equals(Optional.of(begunAt)) ? 1 : 0;
                    });
        }

        /** Begins a stream of the new version as soon as that is allowed; it breaks soon. */
        void beginStream() {
            StreamOrigin origin = new StreamOrigin(SERVICE, new SoftwareVersion("v2"));
            boolean due = mTime.millis() % BEGIN_MILLIS < STEP_MILLIS;
            if (due && mListed.contains("v2") && mInStep.mOrigins.isVersionStored(origin)) {
                Optional<RequestId> attempt =
                        Optional.of(new RequestId("s" + mBegun++))
                                .filter(each -> mRandom.nextBoolean());
                mTime.loop().schedule(() -> takeUp(attempt, "v2"), BREAK_MILLIS);
            }
        }

        void play(boolean standsStill) {
            run(4000 + mRandom.nextInt(1000), () -> {});
            final int lead = mRandom.nextInt(MAX_LEAD_MILLIS);
            mTime.advance(mRandom.nextInt(STEP_MILLIS));
            setOutOfStep(standsStill, true);
            run(lead, () -> {});
            mListed.add("v2");
            mInStep.readList(Set.copyOf(mListed));
            run(OUT_OF_STEP_MILLIS - lead, this::beginStream);
            setOutOfStep(standsStill, false);
            run(LIST_MILLIS, this::beginStream);
        }

        private void setOutOfStep(boolean standsStill, boolean on) {
            if (standsStill) {
                mOutOfStep.mRouter.mControl.pause(on);
            } else {
                mOutOfStep.mStore.mAway = on;
            }
        }
    }

    @DataProvider
    Object[][] kinds() {
        return new Object[][] {{"cut off", false}, {"standing still", true}};
    }

    /** Guards against text of two versions in one stream. */
    @Test(dataProvider = "kinds")
    public void noStreamIsJoinedAtIt(String kind, boolean standsStill) {
        List<Long> joined = new ArrayList<>();
        int begun = 0;
        int wentOn = 0;
        for (long seed = 1; seed <= SERIES; seed++) {
            Series series = new Series(seed);
            series.play(standsStill);
            begun += series.mBegun;
            wentOn += series.mWentOn;
            if (series.mJoined > 0) {
                joined.add(seed);
            }
        }
        assertTrue(begun > SERIES, "streams of the new version: " + begun);
        assertTrue(wentOn > SERIES, "streams that went on: " + wentOn);
        assertEquals(joined, List.of(), joined.size() + " series " + kind);
    }
}
