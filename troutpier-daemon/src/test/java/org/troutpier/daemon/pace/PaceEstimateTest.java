package org.troutpier.daemon.pace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamEntry;

/** Tests the pace of upstreams as measured by several routers. */
public final class PaceEstimateTest {

    private static final int ROUTERS = 8;
    private static final long REPORT_MILLIS = 50;

    private final List<PaceEstimate> mRouters = new ArrayList<>();

    /** What each router reported last. */
    private final Map<Integer, Map<UpstreamIncarnation, PaceReport>> mReports = new HashMap<>();

    private final List<UpstreamEntry> mEngines = new ArrayList<>();
    private final Random mRandom = new Random(7);
    private long mNow;

    @BeforeMethod
    void start() {
        mNow = 1000;
        mRouters.clear();
        mReports.clear();
        mEngines.clear();
        for (int router = 0; router < ROUTERS; router++) {
            int own = router;
            mRouters.add(
                    new PaceEstimate(true, (id, now) -> reportedToOthers(own, id), () -> mNow));
        }
        for (int engine = 0; engine < 6; engine++) {
            mEngines.add(engine("e" + engine));
        }
    }

    private static UpstreamEntry engine(String id) {
        return new UpstreamEntry(
                UpstreamIncarnation.of(id),
                "service",
                new Address("127.0.0.1", 1),
                new HallId("hall"),
                10,
                UpstreamEntry.Role.PREFILL,
                false);
    }

    private PaceReport reportedToOthers(int own, UpstreamIncarnation id) {
        PaceReport sum = PaceReport.NONE;
        for (Map.Entry<Integer, Map<UpstreamIncarnation, PaceReport>> each : mReports.entrySet()) {
            if (each.getKey() != own) {
                PaceReport report = each.getValue().getOrDefault(id, PaceReport.NONE);
                sum = sum.plus(report.bounded(1));
            }
        }
        return sum;
    }

    /**
     * Plays measurements of all routers at random engines, 40 a second together while all engines
     * are even. A slow engine answers fewer calls; each is also recorded once it is overdue.
     */
    private void play(long millis, ToDoubleFunction<UpstreamEntry> ratio) {
        for (long end = mNow + millis; mNow < end; ) {
            mNow += REPORT_MILLIS;
            for (int router = 0; router < ROUTERS; router++) {
                if (mRandom.nextInt(4) == 0) {
                    UpstreamEntry engine = mEngines.get(mRandom.nextInt(mEngines.size()));
                    double slowness = ratio.applyAsDouble(engine);
                    double scatter = 0.8 + 0.4 * mRandom.nextDouble();
                    if (slowness * scatter > 2) {
                        mRouters.get(router).recordOverdue(engine, 200, 100, 1);
                    }
                    if (mRandom.nextDouble() * slowness < 1) {
                        mRouters.get(router).record(engine, 100 * slowness * scatter, 100, 1);
                    }
                }
                mReports.put(router, mRouters.get(router).report());
            }
        }
    }

    private double pace(int engine) {
        return mRouters.get(0).pace(mEngines.get(engine));
    }

    private double slowness(UpstreamEntry entry, double ratio) {
        return entry == mEngines.get(2) ? ratio : 1;
    }

    @Test
    public void aLastingSlownessIsKnownWithinASecondAndForgottenAfterwards() {
        play(5000, entry -> 1);
        play(1000, entry -> slowness(entry, 5));
        assertTrue(pace(2) >= 1.5, "passed over after a second " + pace(2));
        play(2000, entry -> slowness(entry, 5));
        assertTrue(pace(2) > 2.5 && pace(2) < 5.5, "after three seconds " + pace(2));
        assertEquals(pace(0), 1.0);
        play(3000, entry -> 1);
        assertEquals(pace(2), 1.0);
    }

    @Test
    public void anEngineWithoutWorkIsTriedAgain() {
        play(3000, entry -> slowness(entry, 5));
        UpstreamEntry slow = mEngines.remove(2);
        play(8000, entry -> 1);
        assertEquals(mRouters.get(0).pace(slow), 1.0);
    }

    @Test
    public void aFlickerMovesNoWorkForLong() {
        play(5000, entry -> 1);
        int outliers = 0;
        int slowest = 0;
        for (int step = 0; step < 100; step++) {
            int slow = mRandom.nextInt(7);
            play(600, entry -> slow < 6 && entry == mEngines.get(slow) ? 2.5 : 1);
            for (int engine = 0; engine < 6; engine++) {
                outliers += pace(engine) > 1 ? 1 : 0;
                slowest = Math.max(slowest, (int) pace(engine));
            }
        }
        assertTrue(outliers <= 120, "outliers of 600 " + outliers);
        assertTrue(slowest < 2.5, "slowest " + slowest);
    }

    @Test
    public void oneSampleIsNoPace() {
        play(3000, entry -> 1);
        UpstreamEntry fresh = engine("fresh");
        mRouters.get(0).record(fresh, 250, 100, 1);
        assertTrue(mRouters.get(0).pace(fresh) < 2.5, "pace " + mRouters.get(0).pace(fresh));
        mRouters.get(1).record(engine("other"), 100, 100, 1);
        assertEquals(mRouters.get(1).pace(engine("other")), 1.0);
    }

    @Test
    public void anOverdueCallIsNoSignThatItsEngineAnswers() {
        play(3000, entry -> 1);
        mNow += 3000;
        mReports.clear();
        for (PaceEstimate router : mRouters) {
            router.recordOverdue(mEngines.get(2), 200, 100, 1);
        }
        assertTrue(mRouters.get(0).recentWeight(mEngines.get(2)) < 0.01);
    }

    @Test
    public void ifAllAreSlowNoneIsAnOutlier() {
        play(3000, entry -> 1);
        play(3000, entry -> 5);
        for (int engine = 0; engine < 6; engine++) {
            assertEquals(pace(engine), 1.0, "engine " + engine);
        }
    }

    @Test
    public void aSecondOfSilenceOfAllMakesNoneAnOutlier() {
        play(3000, entry -> 1);
        for (PaceEstimate router : mRouters) {
            mEngines.forEach(engine -> router.recordOverdue(engine, 200, 100, 1));
        }
        mNow += 1000;
        for (int engine = 0; engine < 6; engine++) {
            assertEquals(pace(engine), 1.0, "engine " + engine);
        }
        play(1000, entry -> 1);
        for (int engine = 0; engine < 6; engine++) {
            assertEquals(pace(engine), 1.0, "engine " + engine);
        }
    }

    @Test
    public void aSlowRouterFindsNoUpstreamSlow() {
        for (int step = 0; step < 200; step++) {
            mNow += REPORT_MILLIS;
            mRouters.get(0).record(mEngines.get(step % 6), 400, 100, 1);
        }
        for (int engine = 0; engine < 6; engine++) {
            assertEquals(pace(engine), 1.0, "engine " + engine);
        }
        assertEquals(
                mRouters.get(0).report().values().stream()
                        .filter(each -> each.meanLogarithm() > 0.1)
                        .count(),
                0);
    }

    @Test
    public void aRouterThatReportsNonsenseIsOutweighed() {
        play(3000, entry -> 1);
        PaceReport lie = new PaceReport(1e9, 1e12, 1e9, 1e12);
        mReports.put(7, Map.of(mEngines.get(1).incarnation(), lie));
        play(50, entry -> 1);
        mReports.put(7, Map.of(mEngines.get(1).incarnation(), lie));
        assertTrue(pace(1) < 3, "pace " + pace(1));
        mReports.put(
                7,
                Map.of(
                        mEngines.get(1).incarnation(),
                        new PaceReport(Double.NaN, 1, Double.POSITIVE_INFINITY, 1)));
        assertEquals(pace(1), 1.0);
    }

    @Test
    public void evenUpstreamsAreNotReportedUnlessTheyShowThatAnEngineAnswers() {
        play(3000, entry -> 1);
        mNow += 2000;
        assertTrue(mRouters.get(0).report().isEmpty());
    }

    @Test
    public void aNewStartHasNoPace() {
        play(3000, entry -> slowness(entry, 5));
        UpstreamEntry slow = mEngines.get(2);
        mRouters.get(0).retain(Set.of());
        mReports.clear();
        assertEquals(mRouters.get(0).pace(slow), 1.0);
    }

    @Test
    public void anEstimateThatIsOffMeasuresNothing() {
        PaceEstimate off =
                new PaceEstimate(false, (id, now) -> new PaceReport(9, 18, 9, 18), () -> 0);
        off.record(mEngines.get(0), 900, 100, 1);
        assertEquals(off.pace(mEngines.get(0)), 1.0);
        assertTrue(off.report().isEmpty());
    }

    @Test
    public void expectedTimesFollowTheCallsInProgress() {
        PaceEstimate router = new PaceEstimate(true, (id, now) -> PaceReport.NONE, () -> mNow);
        for (int step = 0; step < 300; step++) {
            mNow += 20;
            UpstreamEntry entry = mEngines.get(step % 6);
            int calls = 1 + step / 6 % 10;
            router.recordUnderLoad(entry, slowness(entry, 4) * (20 + 5 * calls), calls);
        }
        assertTrue(router.pace(mEngines.get(2)) > 2, "pace " + router.pace(mEngines.get(2)));
        assertEquals(router.pace(mEngines.get(3)), 1.0);
    }
}
