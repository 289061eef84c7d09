package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.limit.LastAnnouncedRate;
import org.troutpier.daemon.limit.PeerRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.notice.AnnouncedRate;

/** Tests the enforcement of announced rates at one router. */
public final class UpstreamRatesTest {

    private static final UpstreamEntry UPSTREAM = TestUpstreams.plain("web", "hall-a");
    private static final UpstreamIncarnation ID = UPSTREAM.incarnation();
    private static final FlowKey FLOW = new FlowKey(1, FlowKey.NO_ORGANISATION);
    private static final int STEP_MILLIS = 10;
    private static final int WORK_MILLIS = 50;

    private ManualClock mTime;
    private MetricRegistry mMetrics;
    private RateReport mPeerReport;
    private int mPeerCount;
    private int mKnownRouters;
    private UpstreamRates mRates;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mTime.advance(100_000);
        mMetrics = new MetricRegistry();
        mPeerReport = RateReport.NONE;
        mPeerCount = 0;
        mKnownRouters = 1;
        PeerRates others =
                new PeerRates() {
                    @Override
                    public RateReport rate(UpstreamIncarnation upstream, long now) {
                        return upstream.equals(ID) ? mPeerReport : RateReport.NONE;
                    }

                    @Override
                    public int peerCount() {
                        return mPeerCount;
                    }
                };
        mRates =
                new UpstreamRates(
                        mTime.loop(),
                        mTime::millis,
                        new Random(1),
                        others,
                        () -> mKnownRouters,
                        mMetrics);
    }

    private void answer(AnnouncedRate rate, UpstreamPort.Verdict verdict, long tookMillis) {
        mRates.recordAnnouncement(UPSTREAM, rate, verdict, tookMillis);
    }

    private void answer(AnnouncedRate rate) {
        mTime.advance(WORK_MILLIS + 1);
        answer(rate, UpstreamPort.Verdict.SUCCESS, WORK_MILLIS);
    }

    private List<Double> rates() {
        return mRates.statuses().stream().map(UpstreamRates.Status::perSecond).toList();
    }

    @Test
    public void aRateAppliesFromItsAnnouncementToAnAnswerWithoutOne() {
        assertEquals(rates(), List.of());
        answer(AnnouncedRate.of(3.6));
        assertEquals(rates(), List.of(3.6));
        answer(AnnouncedRate.of(5));
        assertEquals(rates(), List.of(5.0));
        answer(AnnouncedRate.NONE);
        assertEquals(rates(), List.of());
    }

    @Test
    public void anAnswerToACallSentBeforeTheAnnouncementDoesNotEndIt() {
        answer(AnnouncedRate.of(3.6));
        mTime.advance(20);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.SUCCESS, 40);
        assertEquals(rates(), List.of(3.6));
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.SUCCESS, 10);
        assertEquals(rates(), List.of());
    }

    @Test
    public void onlyAnAnswerOfTheUpstreamItselfCounts() {
        answer(AnnouncedRate.of(3.6), UpstreamPort.Verdict.OTHER_UPSTREAM, 0);
        answer(AnnouncedRate.of(3.6), UpstreamPort.Verdict.FOREIGN, 0);
        assertEquals(rates(), List.of());
        answer(AnnouncedRate.of(3.6), UpstreamPort.Verdict.NOT_STARTED, 0);
        assertEquals(rates(), List.of(3.6));
        mTime.advance(100);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.NOT_STARTED, 0);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.FOREIGN, 0);
        answer(AnnouncedRate.NONE, UpstreamPort.Verdict.OWN_FAILURE, 0);
        assertEquals(rates(), List.of(3.6));
    }

    @Test
    public void anUnreadableRateChangesNothingAndIsCounted() {
        answer(AnnouncedRate.of(3.6));
        answer(AnnouncedRate.UNREADABLE);
        assertEquals(rates(), List.of(3.6));
        assertEquals(mMetrics.counter("upstream.web.rate-unreadable").getCount(), 1);
        assertEquals(mMetrics.counter("upstream.web.rate-named").getCount(), 1);
    }

    @Test
    public void theNextIncarnationIsNotLimited() {
        UpstreamEntry again = TestUpstreams.startedAt(UPSTREAM, 7);
        answer(AnnouncedRate.of(3.6));
        mRates.recordAnnouncement(again, AnnouncedRate.NONE, UpstreamPort.Verdict.SUCCESS, 0);
        assertEquals(rates(), List.of(3.6));
        assertEquals(mRates.statuses().get(0).upstream(), ID.toString());
    }

    @Test
    public void aLaterAnnouncementAtAnotherRouterApplies() {
        answer(AnnouncedRate.of(3.6));
        mTime.advance(1000);
        mPeerReport =
                new RateReport(
                        new LastAnnouncedRate(2, 100), new RecentUsage(4, 1, 9), List.of(9L));
        assertEquals(rates(), List.of(2.0));
        assertEquals(mRates.statuses().get(0).elsewhere(), 4);
        mPeerReport =
                new RateReport(
                        new LastAnnouncedRate(LastAnnouncedRate.UNLIMITED, 0),
                        RecentUsage.NONE,
                        List.of());
        mTime.advance(200);
        assertEquals(rates(), List.of());
        mPeerReport = new RateReport(new LastAnnouncedRate(3.6, 5000), RecentUsage.NONE, List.of());
        assertEquals(rates(), List.of(), "an earlier statement");
    }

    @Test
    public void onlyOwnAnnouncementsAreReported() {
        assertEquals(mRates.report(), Map.of());
        answer(AnnouncedRate.of(3.6));
        assertEquals(
                mRates.report(),
                Map.of(
                        ID,
                        new RateReport(
                                new LastAnnouncedRate(3.6, 0), RecentUsage.NONE, List.of())));
        mTime.advance(1000);
        mPeerReport = new RateReport(new LastAnnouncedRate(2, 100), RecentUsage.NONE, List.of());
        assertEquals(rates(), List.of(2.0));
        assertEquals(mRates.report(), Map.of());
        assertTrue(mRates.tryAcquire(UPSTREAM, FLOW));
        assertEquals(
                mRates.report(),
                Map.of(
                        ID,
                        new RateReport(
                                LastAnnouncedRate.NEVER,
                                new RecentUsage(1, 1, 1),
                                List.of(0L, 1L))));
    }

    @Test
    public void aRateThatIsNotRepeatedExpires() {
        answer(AnnouncedRate.of(3.6));
        mTime.advance(UpstreamRate.EXPIRY_MILLIS - 1);
        assertEquals(rates(), List.of(3.6));
        mTime.advance(1);
        assertEquals(rates(), List.of());
        assertEquals(mRates.report(), Map.of());
    }

    @Test
    public void anUnlistedUpstreamIsRemovedOnceItsRateHasExpired() {
        answer(AnnouncedRate.of(3.6));
        mRates.retain(Set.of());
        assertEquals(rates(), List.of(3.6), "the list may be away");
        mTime.advance(UpstreamRate.EXPIRY_MILLIS);
        mRates.retain(Set.of());
        assertTrue(mRates.statuses().isEmpty());
    }

    /** Generates requests for a time, and returns the number admitted for each flow. */
    private long[] sendContinuously(int millis, FlowKey... flows) {
        long[] admitted = new long[flows.length];
        for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
            mTime.advance(STEP_MILLIS);
            for (int flow = 0; flow < flows.length; flow++) {
                admitted[flow] += mRates.tryAcquire(UPSTREAM, flows[flow]) ? 1 : 0;
            }
        }
        return admitted;
    }

    @Test
    public void withoutARateAllRequestsAreSent() {
        assertEquals(sendContinuously(1000, FLOW)[0], 1000 / STEP_MILLIS);
    }

    @Test
    public void requestsBelowTheRateAreSent() {
        answer(AnnouncedRate.of(200));
        mTime.advance(5000);
        assertEquals(sendContinuously(10_000, FLOW)[0], 10_000 / STEP_MILLIS);
    }

    @Test
    public void theRateIsUsedUpOverALongTime() {
        answer(AnnouncedRate.of(5));
        mTime.advance(5000);
        long sent = sendContinuously(20_000, FLOW)[0];
        assertTrue(sent >= 80 && sent <= 110, "sent " + sent + " of 100");
    }

    @Test
    public void requestsOfOtherRoutersAreDeducted() {
        mPeerCount = 1;
        mKnownRouters = 2;
        mPeerReport =
                new RateReport(
                        new LastAnnouncedRate(5, 0), new RecentUsage(20, 5, 5), List.of(0L, 5L));
        mRates.tryAcquire(UPSTREAM, FLOW);
        assertEquals(rates(), List.of(5.0));
        mTime.advance(5000);
        assertEquals(sendContinuously(2000, FLOW)[0], 0);
    }

    @Test
    public void anIsolatedRouterKeepsToItsShare() {
        answer(AnnouncedRate.of(10));
        mTime.advance(5000);
        mKnownRouters = 5;
        long sent = sendContinuously(20_000, FLOW)[0];
        assertTrue(sent >= 20 && sent <= 70, "sent " + sent + " where its part is 40");
    }

    @Test
    public void urgentRequestsGoFirst() {
        answer(AnnouncedRate.of(5));
        mTime.advance(5000);
        long[] sent =
                sendContinuously(
                        20_000,
                        new FlowKey(2, FlowKey.NO_ORGANISATION),
                        new FlowKey(1, FlowKey.NO_ORGANISATION));
        assertTrue(sent[1] >= 80, "the more urgent " + sent[1] + " of 100");
        assertTrue(sent[0] <= 10, "the less urgent " + sent[0]);
    }

    @Test
    public void organisationsShareEvenly() {
        FlowKey flood = new FlowKey(1, new PartnerId("flood"));
        FlowKey calm = new FlowKey(1, new PartnerId("calm"));
        answer(AnnouncedRate.of(8));
        mTime.advance(5000);
        long[] sent = sendContinuously(20_000, flood, flood, flood, flood, flood, flood, calm);
        long flooded = sent[0] + sent[1] + sent[2] + sent[3] + sent[4] + sent[5];
        assertTrue(sent[6] * 3 > flooded, "calm " + sent[6] + ", flood " + flooded);
        assertTrue(flooded + sent[6] >= 120, "calm " + sent[6] + ", flood " + flooded);
    }

    @Test
    public void aRateOfZeroIsProbedOccasionally() {
        answer(AnnouncedRate.of(0));
        mTime.advance(5000);
        long sent = sendContinuously(20_000, FLOW)[0];
        assertTrue(sent >= 1 && sent <= 8, "sent " + sent + " in 20 s");
    }

    @Test
    public void withheldRequestsAreCountedAndShown() {
        answer(AnnouncedRate.of(1));
        long sent = sendContinuously(1000, FLOW)[0];
        long withheld = 1000 / STEP_MILLIS - sent;
        assertEquals(mMetrics.counter("upstream.web.rate-withheld").getCount(), withheld);
        assertEquals(mRates.statuses().get(0).withheld(), withheld);
        assertEquals(mRates.statuses().get(0).here(), sent);
    }

    @Test
    public void retryDelaysFollowTheRate() {
        answer(AnnouncedRate.of(5));
        sendContinuously(2000, FLOW);
        double seconds = 0;
        for (int call = 0; call < 100; call++) {
            seconds += mRates.retryAfterMillis(List.of(UPSTREAM)) / 1000.0 / 100;
        }
        double ahead = 1000.0 / STEP_MILLIS - 5;
        assertEquals(seconds, ahead / 5 / 2, ahead / 5 / 4);
    }

    @Test
    public void aLoweredRateTakesEffectOverAWindow() {
        answer(AnnouncedRate.of(20));
        mTime.advance(5000);
        sendContinuously(5000, FLOW);
        answer(AnnouncedRate.of(5));
        long sent = sendContinuously(4000, FLOW)[0];
        assertTrue(sent <= 30, "sent " + sent + " of 20 in the window after it");
        long later = sendContinuously(8000, FLOW)[0];
        assertTrue(later >= 30 && later <= 45, "sent " + later + " of 40");
    }

    @Test
    public void requestsAndChangesAreReportedOnce() {
        mRates.tryAcquire(UPSTREAM, FLOW);
        assertFalse(mRates.hasUnreportedChanges(), "it names no rate");
        answer(AnnouncedRate.of(5));
        assertTrue(mRates.hasUnreportedChanges(), "a rate that was named");
        mRates.report();
        answer(AnnouncedRate.of(5));
        assertFalse(mRates.hasUnreportedChanges(), "the same rate");
        mTime.advance(5000);
        assertTrue(mRates.tryAcquire(UPSTREAM, FLOW));
        assertTrue(mRates.hasUnreportedChanges(), "a request that was sent");
        mRates.report();
        answer(AnnouncedRate.NONE);
        assertTrue(mRates.hasUnreportedChanges(), "a rate that ended");
    }
}
