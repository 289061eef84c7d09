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
import org.troutpier.daemon.resume.NewStreams;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;

/**
 * Releases during which all routers lose power: drawn series in virtual time, with streams that
 * begin until the loss and are taken up after it.
 */
public final class RejoinedStreamsTest {

    private static final String SERVICE = VersionedRouter.SERVICE;
    private static final int SERIES = 200;
    private static final int STEP_MILLIS = 50;
    private static final int LIST_MILLIS = 700;
    private static final int TAKE_UP_MILLIS = 6000;
    private static final int OLDEST_MILLIS = 30_000;

    /** Part of the streams of a version that serves which have to go on; a requirement. */
    private static final double MIN_SHARE = 0.5;

    /** A stream that has begun. */
    private record Begun(RequestId attempt, String version, long at) {}

    /** Routers that share only the store, one at a time, through one release. Test thread only. */
    private static final class Series {

        final Random mRandom;
        final ManualClock mTime = new ManualClock();
        final VersionedRows mRows = new VersionedRows();
        final FakeRowStore mStore = new FakeRowStore(mRows);
        final List<Begun> mBegun = new ArrayList<>();

        /** The versions that the store lists. */
        final Set<String> mListed = new TreeSet<>(Set.of("v1"));

        VersionedRouter mRouter;
        StreamOrigins mOrigins;
        Set<String> mKnown = Set.of();
        int mRouters;
        int mJoined;
        int mWentOn;
        int mTakenUp;

        Series(long seed) {
            mRandom = new Random(seed);
        }

        void startRouter() {
            mRouter = new VersionedRouter("router-" + ++mRouters, mTime, mStore);
            mOrigins = new StreamOrigins(mRouter.mControl, mTime::millis, new MetricRegistry());
            mOrigins.setVersions(mRouter.mVersions);
            OriginTable stored =
                    new OriginTable(mRouter.mNode, mStore, mRouter.mVersions, () -> 7, () -> true);
            stored.start();
            mOrigins.setStore(stored);
            readList();
            mRouter.mVersions.start();
        }

        void readList() {
            if (!mStore.mAway) {
                mKnown = Set.copyOf(mListed);
                mRouter.list(mKnown);
            }
        }

        /** Lets time pass, in which the list of upstreams is read. */
        void run(long millis, Runnable step) {
            for (long end = mTime.millis() + millis; mTime.millis() < end; ) {
                mTime.advance(STEP_MILLIS);
                if (mTime.millis() % LIST_MILLIS < STEP_MILLIS) {
                    readList();
                }
                step.run();
            }
        }

        void beginStream() {
            List<String> usable =
                    NewStreams.select(
                            List.copyOf(new TreeSet<>(mKnown)),
                            this::origin,
                            mOrigins::isVersionStored);
            String version = usable.get(mRandom.nextInt(usable.size()));
            RequestId attempt = new RequestId("s" + mBegun.size());
            mOrigins.record(attempt, origin(version));
            mBegun.add(new Begun(attempt, version, mTime.millis()));
        }

        private StreamOrigin origin(String version) {
            return new StreamOrigin(SERVICE, new SoftwareVersion(version));
        }

        void takeUpStream() {
            Begun begun = mBegun.get(mRandom.nextInt(mBegun.size()));
            if (mTime.millis() - begun.at() > OLDEST_MILLIS) {
                return;
            }
            boolean served = mListed.contains(begun.version());
            mOrigins.resolve(
                    Optional.of(begun.attempt()),
                    SERVICE,
                    found -> {
                        Optional<String> version =
                                found.origin().map(origin -> origin.version().value());
                        boolean same = version.equals(Optional.of(begun.version()));
                        mJoined += version.isPresent() && !same ? 1 : 0;
                        mTakenUp += served ? 1 : 0;
                        mWentOn += served && same ? 1 : 0;
                    });
        }

        /** Plays one release with the loss of all routers. */
        void play(boolean withdrawn, boolean away) {
            startRouter();
            run(3000, () -> {});
            run(5000 + mRandom.nextInt(1000), this::beginStream);
            mListed.add("v2");
            readList();
            final long released = mTime.millis();
            final long loss = 100 + mRandom.nextInt(4900);
            final long back = 600 + mRandom.nextInt(2400);
            final long leaves = 500 + mRandom.nextInt(3500);
            final long awayMillis = away ? 1000 + mRandom.nextInt(6000) : 0;
            Runnable events =
                    () -> {
                        long now = mTime.millis() - released;
                        mStore.mAway = now < awayMillis;
                        if (now >= leaves) {
                            mListed.remove(withdrawn ? "v2" : "v1");
                        }
                    };
            mStore.mAway = away;
            run(
                    loss,
                    () -> {
                        events.run();
                        beginStream();
                    });
            mRouter.mControl.pause(true);
            mOrigins = new StreamOrigins(mTime.control(), mTime::millis, new MetricRegistry());
            run(back, events);
            startRouter();
            run(
                    TAKE_UP_MILLIS,
                    () -> {
                        events.run();
                        takeUpStream();
                    });
        }
    }

    @DataProvider
    Object[][] kinds() {
        return new Object[][] {
            {"the new version stays", false, false},
            {"the new version is withdrawn", true, false},
            {"the new version stays, the store is away", false, true},
            {"the new version is withdrawn, the store is away", true, true},
        };
    }

    /** Guards against text of two versions in one stream after the loss of all routers. */
    @Test(dataProvider = "kinds")
    public void noStreamIsJoinedAfterTheLossOfAllRouters(
            String kind, boolean withdrawn, boolean away) {
        List<Long> joined = new ArrayList<>();
        for (long seed = 1; seed <= SERIES; seed++) {
            Series series = new Series(seed);
            series.play(withdrawn, away);
            if (series.mJoined > 0) {
                joined.add(seed);
            }
        }
        assertEquals(joined, List.of(), "seeds of " + kind);
    }

    /** Guards against refusing every stream whose routers are all lost. */
    @Test
    public void streamsOfAVersionThatServesGoOnAfterTheLossOfAllRouters() {
        int takenUp = 0;
        int wentOn = 0;
        for (long seed = 1; seed <= SERIES; seed++) {
            Series series = new Series(seed);
            series.play(false, false);
            takenUp += series.mTakenUp;
            wentOn += series.mWentOn;
        }
        System.out.println("RejoinedStreamsTest went on " + wentOn + " of " + takenUp);
        assertTrue(wentOn >= MIN_SHARE * takenUp, wentOn + " of " + takenUp + " go on");
    }
}
