package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.PrefillLatencyModel;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.waiting.ReturnSchedule;
import org.troutpier.daemon.waiting.WaitingReport;

/** The decisions on one request's memory, from the reports of other routers. */
public final class DecodeReservationTest {

    private static final LoadSettings ORDERED = new LoadSettings(false, true, false, false, false);
    private static final LoadSettings GROWTH = new LoadSettings(false, false, true, false, false);
    private static final FlowKey FLOW = new FlowKey(1, FlowKey.NO_ORGANISATION);
    private static final long WAIT = 700;
    private static final int PROMPT = 5000;
    private static final long LIMIT = 4500;

    private final UpstreamEntry mEngine = TestUpstreams.decode("engine");
    private ManualClock mTime;
    private UpstreamLoads mLoads;
    private PeerLoads mPeers;
    private MetricRegistry mMetrics;
    private ReturnSchedule mReturns;

    @BeforeMethod
    void setUp() {
        mTime = new ManualClock();
        mPeers = new PeerLoads();
        mMetrics = new MetricRegistry();
        mReturns = new ReturnSchedule(new Random(1));
    }

    private DecodeReservation reservation(LoadSettings settings) {
        TestContext builder = new TestContext(mTime);
        builder.mPeers = mPeers;
        builder.mMetrics = mMetrics;
        builder.mReturns = mReturns;
        builder.mSettings = settings;
        ServingContext context = builder.build();
        mLoads = context.loads();
        EngineTraits traits = new EngineTraits(10, 70_000, 60, 2000, 2000, 500);
        return new DecodeReservation(
                context,
                "service",
                traits,
                FLOW,
                new PromptMetadata("model", PROMPT, 8000, List.of()));
    }

    /** Reports a full engine and late requests that wait at another router. */
    private void reportLateRequests(double promptsPerMilli, double returning) {
        report(promptsPerMilli, returning, UpstreamUsage.of(7, 60_000));
    }

    /** Reports what another router has at the engine. */
    private void reportUsage(UpstreamUsage usage) {
        report(5, 0, usage);
    }

    private void report(double promptsPerMilli, double returning, UpstreamUsage usage) {
        Demand demand =
                new Demand(
                        promptsPerMilli * Demand.DECAY_MILLIS,
                        10,
                        7000 * 4000 * 10,
                        4000 * 10,
                        4000 * 10,
                        10,
                        PrefillLatencyModel.NONE,
                        promptsPerMilli * Demand.RECENT_MILLIS,
                        null);
        PartnerId none = FlowKey.NO_ORGANISATION;
        WaitingReport waiting =
                new WaitingReport(
                        List.of(
                                new WaitingReport.Entry(
                                        "service", QueueTier.LATE, 1, none, 40_000, -500)),
                        Map.of(),
                        returning);
        Map<UpstreamIncarnation, UpstreamUsage> uses = Map.of(mEngine.incarnation(), usage);
        LoadReport report =
                new LoadReport(
                        1,
                        1,
                        false,
                        40_000,
                        Set.of(),
                        Set.of(),
                        uses,
                        Map.of("service", demand),
                        UsageReport.NONE,
                        Map.of(),
                        waiting,
                        Map.of());
        mPeers.update(
                new Incarnation("peer~1"),
                TestUpstreams.HALL,
                ReportScope.OWN,
                report,
                mTime.millis());
        mPeers.aggregate(mTime.millis());
    }

    private double predictedWait(LoadSettings settings, QueueTier tier) {
        return reservation(settings).forecast().predictedWaitMillis(List.of(mEngine), tier, WAIT);
    }

    @Test
    public void lateRequestsElsewhereDoNotDelayOneInTime() {
        reportLateRequests(5, 0);
        assertTrue(predictedWait(LoadSettings.DEFAULT, QueueTier.IN_TIME) > WAIT);
        assertEquals(predictedWait(ORDERED, QueueTier.IN_TIME), PROMPT / 15.0, 1);
        assertEquals(predictedWait(ORDERED, QueueTier.LATE), (40_000 + PROMPT) / 15.0, 1);
    }

    @Test
    public void returnTimeCountsReturnsAtOtherRouters() {
        reportLateRequests(5, 0);
        long first = reservation(ORDERED).forecast().retryDelayMillis(List.of(mEngine), 60_000);
        assertEquals(mReturns.returningCost(mTime.millis()), (double) PROMPT);
        mReturns = new ReturnSchedule(new Random(1));
        reportLateRequests(5, 100_000);
        long second = reservation(ORDERED).forecast().retryDelayMillis(List.of(mEngine), 60_000);
        assertEquals(second - first, 100_000 / 10, 1000);
    }

    @Test
    public void withoutReportsOrTheSettingReturnsArePacedByOwnGrants() {
        long alone = reservation(ORDERED).forecast().retryDelayMillis(List.of(mEngine), LIMIT);
        assertTrue(alone > LIMIT * 0.64 && alone <= LIMIT, "delay " + alone);
        reportLateRequests(5, 0);
        reservation(LoadSettings.DEFAULT).forecast().retryDelayMillis(List.of(mEngine), LIMIT);
        assertEquals(mReturns.returningCost(mTime.millis()), 0.0);
    }

    /** Starts a run and returns what is reported of it: at its start and after 100 events. */
    private long[] reportedCorrections(LoadSettings settings) {
        DecodeReservation reservation = reservation(settings);
        mLoads.reserve(mEngine, PROMPT);
        reservation.search(0, QueueTier.IN_TIME, 0, List::of, new IgnoringListener());
        reservation.accept(mEngine, Optional.empty());
        long atStart = mLoads.usage().get(mEngine.incarnation()).restCorrection();
        EngineMemory memory = reservation.takeMemory();
        memory.grow(100 * 60);
        long later = mLoads.usage().get(mEngine.incarnation()).restCorrection();
        memory.free();
        assertEquals(mLoads.activeRuns().restCorrection(mEngine.incarnation()), 0);
        assertTrue(mLoads.usage().isEmpty());
        return new long[] {atStart, later};
    }

    /** Ignores the outcome of a search. */
    private static final class IgnoringListener implements ReservationAllocator.Listener {

        @Override
        public void onGranted(
                UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {}

        @Override
        public void onRefused(String detail) {}
    }

    @Test
    public void progressIsReportedWhereGrowthIsForecast() {
        long[] corrections = reportedCorrections(GROWTH);
        assertTrue(corrections[0] > 0 && corrections[1] < 0, corrections[0] + " " + corrections[1]);
        assertEquals(reportedCorrections(LoadSettings.DEFAULT), new long[] {0, 0});
        assertEquals(mMetrics.counter("growth.admitted").getCount(), 1);
        assertEquals(mMetrics.counter("growth.admitted.beyond.margin").getCount(), 0);
        reportUsage(UpstreamUsage.of(6, 53_000));
        reportedCorrections(GROWTH);
        assertEquals(mMetrics.counter("growth.admitted.beyond.margin").getCount(), 1);
    }

    @Test
    public void forecastOfWaitsCountsTheRoomThatGrowthLeaves() {
        LoadSettings both = new LoadSettings(false, true, true, false, false);
        reportUsage(new UpstreamUsage(6, 53_000, 0, 0, -12_000));
        assertTrue(predictedWait(ORDERED, QueueTier.IN_TIME) > 0);
        assertEquals(predictedWait(both, QueueTier.IN_TIME), 0.0);
        reportUsage(new UpstreamUsage(6, 53_000, 0, 0, 12_000));
        assertTrue(predictedWait(both, QueueTier.IN_TIME) > 0);
    }
}
