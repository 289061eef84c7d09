package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.TestReports;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.MemoryAdmission;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.notice.AnnouncedRate;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.WaitingOrder;

/** Searches for reservations at decode engines. */
public final class ReservationAllocatorTest {

    private static final long MEMORY = 100_000;
    private static final long PROMPT = 5000;
    private static final long MAX_TOKENS = 15_000;
    private static final double MARGIN = 16_000;
    private static final FlowKey ASKER = new FlowKey(1, FlowKey.NO_ORGANISATION);

    private final UpstreamEntry mFirst = TestUpstreams.decode("first");
    private final UpstreamEntry mSecond = TestUpstreams.decode("second");
    private ManualClock mTime;
    private FakePort mPort;
    private PeerLoads mPeers;
    private UpstreamLoads mLoads;
    private UpstreamRates mRates;
    private ReservationAllocator mAllocator;
    private UpstreamEntry mGranted;
    private String mRefused;

    @BeforeMethod
    void setUp() {
        mTime = new ManualClock();
        mPort = new FakePort();
        mPeers = new PeerLoads();
        mLoads = new UpstreamLoads(mTime.loop(), new Random(1), TestUpstreams.HALL, mPeers);
        mRates =
                new UpstreamRates(
                        mTime.loop(),
                        mTime::millis,
                        new Random(1),
                        mPeers,
                        () -> 1,
                        new MetricRegistry());
        UpstreamAdmission admission =
                new UpstreamAdmission(
                        mLoads,
                        mRates,
                        new UpstreamNotices(mTime.loop(), new Random(1), new MetricRegistry()),
                        new Random(1));
        mAllocator =
                new ReservationAllocator(
                        mTime.loop(),
                        mPort,
                        mLoads,
                        admission,
                        Runnable::run,
                        new Random(1),
                        WaitingOrder.ALONE);
        mGranted = null;
        mRefused = null;
    }

    private ReservationAllocator.Search find(long waitMillis) {
        return find(waitMillis, QueueTier.IN_TIME);
    }

    private ReservationAllocator.Search find(long waitMillis, QueueTier standing) {
        return find(waitMillis, standing, () -> List.of(mFirst, mSecond));
    }

    private ReservationAllocator.Search find(
            long waitMillis, QueueTier standing, Supplier<List<UpstreamEntry>> engines) {
        return mAllocator.search(
                new ReservationAllocator.Requirements(
                        "model",
                        claim(standing, ASKER, waitMillis),
                        PROMPT,
                        MAX_TOKENS,
                        new MemoryAdmission.ForMargin(MARGIN, MEMORY),
                        2000,
                        waitMillis,
                        engines),
                new ReservationAllocator.Listener() {
                    @Override
                    public void onGranted(
                            UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
                        mGranted = engine;
                    }

                    @Override
                    public void onRefused(String detail) {
                        mRefused = detail;
                    }
                });
    }

    private Claim claim(QueueTier tier, FlowKey flow, long waitMillis) {
        return new Claim(tier, flow, mTime.millis() + waitMillis, PROMPT);
    }

    private void reportPeerUsage(long first, long second) {
        LoadReport report =
                TestReports.ofUses(
                        Map.of(
                                mFirst.incarnation(), UpstreamUsage.of(1, first),
                                mSecond.incarnation(), UpstreamUsage.of(1, second)));
        Incarnation peer = new Incarnation("peer~1");
        assertEquals(peer.instance(), new InstanceId("peer"));
        mPeers.update(peer, TestUpstreams.HALL, ReportScope.OWN, report, mTime.millis());
        mPeers.aggregate(mTime.millis());
    }

    @Test
    public void theEngineThatAllRoutersUseLeastIsAskedForThePromptsMemory() {
        reportPeerUsage(30_000, 10_000);
        mLoads.begin(mSecond, 5000);
        find(200);
        assertEquals(mGranted, mSecond);
        assertEquals(mPort.mReserveTokens, List.of(PROMPT));
    }

    @Test
    public void anEngineWithoutRoomForGrowthIsNotAsked() {
        reportPeerUsage(90_000, 90_000);
        find(200);
        mTime.advance(300);
        assertTrue(mPort.mReserveCalls.isEmpty());
        assertTrue(mRefused != null);
        assertNull(mGranted);
    }

    /** The last round may run shortly after the time in which engines may be asked. */
    @Test
    public void aRefusalNamesTheEnginesThatRefusedThoughNoneMayBeAskedAnyMore() {
        mPort.mFullEngines.addAll(Set.of(mFirst.incarnation(), mSecond.incarnation()));
        long until = mTime.millis() + 150;
        find(
                200,
                QueueTier.IN_TIME,
                () -> mTime.millis() < until ? List.of(mFirst, mSecond) : List.of());
        mTime.advance(300);
        assertTrue(mRefused.matches("no place after [1-9]\\d* refusals: .*"), mRefused);
        assertTrue(mRefused.matches(".*, least used (first|second) known 0 in 0 calls"), mRefused);
    }

    @Test
    public void whereNoEngineMayEverBeAskedTheRefusalSaysSo() {
        find(200, QueueTier.IN_TIME, List::of);
        mTime.advance(300);
        assertTrue(mRefused.endsWith(", no engine may be asked"), mRefused);
    }

    @Test
    public void anEngineWhoseSlotsAreAllKnownToBeTakenIsNotAsked() {
        reportPeerUsage(1000, 2000);
        for (int call = 1; call < TestUpstreams.SLOTS; call++) {
            mLoads.begin(mFirst, 10);
        }
        find(200);
        assertEquals(mPort.mReserveCalls, List.of(mSecond));
        assertEquals(mGranted, mSecond);
    }

    @Test
    public void routerWithoutPeerReportsReservesTheMaximumOutputToo() {
        find(200);
        assertEquals(mPort.mReserveTokens, List.of(MAX_TOKENS));
    }

    @Test
    public void nextEngineIsAskedAfterAFullOne() {
        mPort.mFullEngines.add(mFirst.incarnation());
        mLoads.begin(mSecond, 1);
        find(200);
        assertEquals(mPort.mReserveCalls, List.of(mFirst, mSecond));
        assertEquals(mGranted, mSecond);
    }

    @Test
    public void aSearchGoesOnUntilThereIsRoom() {
        mPort.mFullEngines.addAll(Set.of(mFirst.incarnation(), mSecond.incarnation()));
        find(200);
        mTime.advance(100);
        assertNull(mGranted);
        mPort.mFullEngines.remove(mFirst.incarnation());
        mTime.advance(60);
        assertEquals(mGranted, mFirst);
    }

    @Test
    public void reservationGrantedAfterCancellationIsReleased() {
        mPort.mDefersReservations = true;
        ReservationAllocator.Search search = find(200);
        search.cancel();
        mPort.mDeferredReservation.onResult(new UpstreamPort.Reservation("late"));
        assertEquals(mPort.mReleased, List.of("late"));
        assertNull(mGranted);
    }

    @Test
    public void withoutEnginesASearchIsRefusedAfterItsWait() {
        find(100, QueueTier.IN_TIME, List::of);
        mTime.advance(150);
        assertTrue(mRefused != null);
    }

    @Test
    public void aLateRequestLeavesRoomForOneThatCanBeInTime() {
        long justEnough = MEMORY - PROMPT - (long) MARGIN;
        reportPeerUsage(justEnough, justEnough);
        find(0, QueueTier.LATE);
        assertTrue(mRefused != null);
        find(0, QueueTier.IN_TIME);
        assertTrue(mGranted != null);
    }

    @Test
    public void inTimeRequestsPrecedeContinuedStreamsAndThosePrecedeLateRequests() {
        mPort.mFullEngines.addAll(Set.of(mFirst.incarnation(), mSecond.incarnation()));
        List<QueueTier> order = new ArrayList<>();
        for (QueueTier standing : List.of(QueueTier.LATE, QueueTier.CONTINUED, QueueTier.IN_TIME)) {
            mAllocator.search(
                    new ReservationAllocator.Requirements(
                            "model",
                            claim(standing, ASKER, 1000),
                            PROMPT,
                            MAX_TOKENS,
                            new MemoryAdmission.ForMargin(0, MEMORY),
                            2000,
                            1000,
                            () -> List.of(mFirst)),
                    new ReservationAllocator.Listener() {
                        @Override
                        public void onGranted(
                                UpstreamEntry engine,
                                Optional<UpstreamPort.Reservation> reservation) {
                            order.add(standing);
                        }

                        @Override
                        public void onRefused(String detail) {}
                    });
        }
        assertEquals(mAllocator.waitingTokens(), 3 * PROMPT);
        mTime.advance(100);
        mPort.mFullEngines.clear();
        mTime.advance(100);
        assertEquals(order, List.of(QueueTier.IN_TIME, QueueTier.CONTINUED, QueueTier.LATE));
        assertEquals(mAllocator.waitingTokens(), 0);
    }

    /** One organisation sends ten requests to an engine with room for one prompt at a time. */
    @Test
    public void burstOfOneOrganisationDoesNotDelayAnother() {
        mPort.mFullEngines.add(mFirst.incarnation());
        List<String> order = new ArrayList<>();
        for (int request = 0; request < 10; request++) {
            search("flood", order);
        }
        search("calm", order);
        mPort.mFullEngines.clear();
        mTime.advance(200);
        assertEquals(order.size(), 11);
        assertTrue(order.indexOf("calm") <= 1, order.toString());
    }

    private void search(String organisation, List<String> order) {
        mAllocator.search(
                new ReservationAllocator.Requirements(
                        "model",
                        claim(QueueTier.IN_TIME, new FlowKey(1, new PartnerId(organisation)), 1000),
                        PROMPT,
                        MAX_TOKENS,
                        new MemoryAdmission.ForMargin(0, MEMORY),
                        2000,
                        1000,
                        () -> List.of(mFirst)),
                new ReservationAllocator.Listener() {
                    @Override
                    public void onGranted(
                            UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
                        order.add(organisation);
                    }

                    @Override
                    public void onRefused(String detail) {}
                });
    }

    @Test
    public void engineAtItsRateIsNotAskedAndARefusedReservationCounts() {
        for (int call = 0; call < 20; call++) {
            mRates.tryAcquire(mFirst, ASKER);
        }
        mRates.recordAnnouncement(mFirst, AnnouncedRate.of(1), UpstreamPort.Verdict.SUCCESS, 0);
        mRates.recordAnnouncement(mSecond, AnnouncedRate.of(1), UpstreamPort.Verdict.SUCCESS, 0);
        mPort.mFullEngines.add(mSecond.incarnation());
        find(0);
        assertEquals(mPort.mReserveCalls, List.of(mSecond));
        assertEquals(mRates.statuses().get(1).here(), 1);
    }
}
