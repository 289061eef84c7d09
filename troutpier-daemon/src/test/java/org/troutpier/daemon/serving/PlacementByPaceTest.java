package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.pace.PaceEstimate;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Plays prompts of several routers at prefill engines of which one is slow for some seconds, with
 * placement by pace and by amounts alone.
 */
public final class PlacementByPaceTest {

    private static final int ROUTERS = 6;
    private static final int ENGINES = 7;
    private static final long PROMPT = 5000;
    private static final double TOKENS_PER_MILLI = 55;

    /** A third of a target of 0.9 s; the rest is for the wait for memory and the first event. */
    private static final long TARGET_MILLIS = 300;

    private static final long SLOW_FROM = 3000;
    private static final long SLOW_UNTIL = 9500;

    /** Routers, engines that process prompts one after another, and their clock. */
    private static final class Play {
        private final ManualClock mTime = new ManualClock();
        private final Random mRandom;
        private final List<UpstreamLoads> mRouters = new ArrayList<>();
        private final List<PeerLoads> mPeers = new ArrayList<>();
        private final List<UpstreamEntry> mEngines = new ArrayList<>();
        private final Map<UpstreamIncarnation, Long> mBusyUntil = new HashMap<>();
        private final long mStart = mTime.millis();
        private final double mSlowRatio;
        private int mLate;
        private int mStartsAfterwards;

        Play(boolean byPace, double slowRatio, long seed) {
            mRandom = new Random(seed);
            mSlowRatio = slowRatio;
            for (int router = 0; router < ROUTERS; router++) {
                PeerLoads peers = new PeerLoads();
                mPeers.add(peers);
                mRouters.add(
                        new UpstreamLoads(
                                mTime.loop(),
                                mRandom,
                                TestUpstreams.HALL,
                                peers,
                                new PaceEstimate(byPace, peers::pace, mTime::millis)));
            }
            for (int engine = 0; engine < ENGINES; engine++) {
                mEngines.add(TestUpstreams.prefill("e" + engine));
            }
        }

        private long elapsed() {
            return mTime.millis() - mStart;
        }

        private void send(UpstreamLoads router) {
            UpstreamEntry engine = router.order().byPrefillEnd(mEngines, Set.of(), PROMPT).get(0);
            double expected = (router.tokens(engine) + PROMPT) / TOKENS_PER_MILLI;
            double weight = Math.max(0.3, PROMPT / TOKENS_PER_MILLI / expected);
            boolean slowEngine = engine.equals(mEngines.get(0));
            boolean slow = slowEngine && elapsed() >= SLOW_FROM && elapsed() < SLOW_UNTIL;
            mStartsAfterwards += slowEngine && elapsed() > SLOW_UNTIL + 4000 ? 1 : 0;
            double work = PROMPT / TOKENS_PER_MILLI * (slow ? mSlowRatio : 1);
            long now = mTime.millis();
            long free = Math.max(now, mBusyUntil.getOrDefault(engine.incarnation(), 0L));
            long end = free + (long) work;
            mBusyUntil.put(engine.incarnation(), end);
            router.begin(engine, PROMPT);
            long overdue = (long) (PrefillCall.OVERDUE_FACTOR * expected);
            if (end - now > overdue) {
                mTime.loop()
                        .schedule(
                                () ->
                                        router.paces()
                                                .recordOverdue(engine, overdue, expected, weight),
                                overdue);
            }
            mTime.loop()
                    .schedule(
                            () -> {
                                router.end(engine, PROMPT);
                                router.paces().record(engine, end - now, expected, weight);
                                mLate += end - now > TARGET_MILLIS ? 1 : 0;
                            },
                            end - now);
        }

        private void report() {
            for (int from = 0; from < ROUTERS; from++) {
                UpstreamLoads sender = mRouters.get(from);
                LoadReport report =
                        new LoadReport(
                                1,
                                1,
                                false,
                                0,
                                Set.of(),
                                Set.of(),
                                sender.usage(),
                                Map.of(),
                                UsageReport.NONE,
                                Map.of(),
                                WaitingReport.NONE,
                                sender.paces().report());
                for (int to = 0; to < ROUTERS; to++) {
                    if (to != from) {
                        mPeers.get(to)
                                .update(
                                        new Incarnation("r" + from + "~1"),
                                        TestUpstreams.HALL,
                                        ReportScope.OWN,
                                        report,
                                        mTime.millis());
                    }
                }
            }
            mPeers.forEach(peers -> peers.aggregate(mTime.millis()));
        }

        /** Plays 20 seconds with 60 prompts a second. */
        private Play run() {
            for (int tick = 0; tick < 2000; tick++) {
                if (mRandom.nextDouble() < 0.6) {
                    send(mRouters.get(mRandom.nextInt(ROUTERS)));
                }
                if (tick % 5 == 0) {
                    report();
                }
                mTime.advance(10);
            }
            mTime.advance(5000);
            return this;
        }
    }

    /** Returns how many prompts are late in several plays. */
    private static int late(boolean byPace, double slowRatio) {
        int late = 0;
        for (long seed = 1; seed <= 8; seed++) {
            late += new Play(byPace, slowRatio, seed).run().mLate;
        }
        return late;
    }

    @Test
    public void fewerPromptsAreLateWhereOneEngineIsSlowForSeconds() {
        int even = late(false, 1);
        int amounts = late(false, 5);
        int pace = late(true, 5);
        String counts = "late by pace " + pace + ", by amounts " + amounts + ", all even " + even;
        System.out.println("PlacementByPaceTest " + counts);
        assertTrue(pace < amounts, counts);
    }

    @Test
    public void aSlowEngineIsUsedAgainAfterwards() {
        Play amounts = new Play(false, 5, 1).run();
        Play pace = new Play(true, 5, 1).run();
        assertTrue(
                pace.mStartsAfterwards > amounts.mStartsAfterwards * 3 / 4,
                pace.mStartsAfterwards + " and " + amounts.mStartsAfterwards);
    }

    @Test
    public void evenEnginesServeAsManyInTimeAsByAmounts() {
        int amounts = late(false, 1);
        int pace = late(true, 1);
        System.out.println("PlacementByPaceTest even " + pace + ", by amounts " + amounts);
        assertTrue(pace <= amounts * 1.1, pace + " and " + amounts);
    }

    /** Returns the loads of a router to which another one reports that an upstream is slow. */
    private static UpstreamLoads loadsWithSlow(UpstreamEntry slow) {
        ManualClock time = new ManualClock();
        PaceEstimate paces =
                new PaceEstimate(
                        true,
                        (id, now) ->
                                id.equals(slow.incarnation())
                                        ? new PaceReport(4, 4 * Math.log(4), 10, 10 * Math.log(4))
                                        : PaceReport.NONE,
                        time::millis);
        return new UpstreamLoads(
                time.loop(), new Random(1), TestUpstreams.HALL, new PeerLoads(), paces);
    }

    @Test
    public void aSlowPrefillEngineIsUsedWhileItIsTheEarliest() {
        UpstreamEntry slow = TestUpstreams.prefill("slow");
        UpstreamEntry busy = TestUpstreams.prefill("busy");
        UpstreamLoads loads = loadsWithSlow(slow);
        List<UpstreamEntry> engines = List.of(slow, busy);
        loads.begin(busy, 2000);
        assertEquals(loads.order().byPrefillEnd(engines, Set.of(), PROMPT).get(0), busy);
        loads.begin(busy, 20_000);
        assertEquals(loads.order().byPrefillEnd(engines, Set.of(), PROMPT).get(0), slow);
    }

    @Test
    public void aSlowPlainUpstreamIsUsedWhileItIsTheEarliest() {
        UpstreamEntry slow = TestUpstreams.plain("slow", TestUpstreams.HALL.value());
        UpstreamEntry busy = TestUpstreams.plain("busy", TestUpstreams.HALL.value());
        UpstreamLoads loads = loadsWithSlow(slow);
        loads.begin(busy, 0);
        assertEquals(loads.order().byCalls(List.of(slow, busy), Set.of()).get(0), busy);
        for (int call = 0; call < 5; call++) {
            loads.begin(busy, 0);
        }
        assertEquals(loads.order().byCalls(List.of(slow, busy), Set.of()).get(0), slow);
    }

    @Test
    public void aSlowDecodeEngineComesLastButIsKept() {
        UpstreamEntry slow = TestUpstreams.decode("slow");
        UpstreamEntry busy = TestUpstreams.decode("busy");
        UpstreamEntry idle = TestUpstreams.decode("idle");
        UpstreamLoads loads = loadsWithSlow(slow);
        loads.begin(busy, 60_000);
        assertEquals(
                loads.order().byTokens(List.of(slow, busy, idle), Set.of()),
                List.of(idle, busy, slow));
    }
}
