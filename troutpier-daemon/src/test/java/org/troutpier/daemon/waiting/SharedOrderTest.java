package org.troutpier.daemon.waiting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.limit.FlowKey;

/** The order of waiting requests, and what it makes of other routers' reports. */
public final class SharedOrderTest {

    private static final long NOW = 100_000;
    private static final double COST = 5000;

    private final MetricRegistry mMetrics = new MetricRegistry();
    private WaitingReport mPeers = WaitingReport.NONE;
    private final SharedOrder mOrder = new SharedOrder(now -> mPeers, service -> 4000, mMetrics);

    private static WaitingRequest request(
            QueueTier tier, int rank, String organisation, long latestStart) {
        FlowKey flow = new FlowKey(rank, new PartnerId(organisation));
        return new WaitingRequest("model", new Claim(tier, flow, NOW + latestStart, COST));
    }

    private static WaitingRequest inTime(int rank, String organisation, long latestStart) {
        return request(QueueTier.IN_TIME, rank, organisation, latestStart);
    }

    private boolean precedes(WaitingRequest first, WaitingRequest second) {
        boolean precedes = mOrder.precedes(first, second, NOW);
        assertFalse(precedes && mOrder.precedes(second, first, NOW));
        return precedes;
    }

    @Test
    public void tierPrecedesUrgencyAndUrgencyPrecedesLatestStart() {
        assertTrue(precedes(inTime(2, "one", 900), request(QueueTier.LATE, 0, "one", 300)));
        assertTrue(precedes(inTime(0, "one", 900), inTime(2, "one", 300)));
        assertTrue(precedes(inTime(0, "one", 300), inTime(0, "one", 900)));
    }

    @Test
    public void theOrganisationThatWasGrantedLessPrecedesOverAllRouters() {
        mOrder.recordGrant(inTime(0, "one", 500), NOW);
        mPeers = new WaitingReport(List.of(), Map.of(new PartnerId("one"), 2 * COST), 0);
        assertTrue(precedes(inTime(0, "two", 900), inTime(0, "one", 300)));
    }

    @Test
    public void aLessUrgentRequestThatIsDuePrecedesUntilItsKindHasATenth() {
        mOrder.recordGrant(inTime(0, "one", 500), NOW);
        assertTrue(precedes(inTime(2, "one", 150), inTime(0, "one", 400)));
        assertFalse(precedes(inTime(2, "one", 250), inTime(0, "one", 400)));
        mOrder.recordGrant(inTime(2, "one", 500), NOW);
        assertFalse(precedes(inTime(2, "one", 150), inTime(0, "one", 400)));
    }

    @Test
    public void aLessUrgentRequestLeavesWhatMoreUrgentOnesNeedUntilTheNextRunEnds() {
        for (int arrival = 0; arrival < 20; arrival++) {
            mOrder.recordArrival(inTime(0, "one", 500), NOW);
        }
        double expected = 20 * COST / 1000 * 4000 / 200;
        mOrder.recordGrant(inTime(0, "one", 500), NOW);
        assertEquals(mOrder.preceding(inTime(2, "one", 900), 200, NOW).tokens(), expected, 1);
        assertEquals(mOrder.preceding(inTime(0, "one", 900), 200, NOW).tokens(), 0.0);
    }

    @Test
    public void onlyWhatPrecedesElsewhereIsLeftRoom() {
        mPeers =
                new WaitingReport(
                        WaitingReport.entriesOf(
                                List.of(
                                        inTime(0, "one", 300),
                                        inTime(0, "one", 900),
                                        request(QueueTier.LATE, 0, "one", 100)),
                                NOW),
                        Map.of(),
                        0);
        Preceding preceding = mOrder.preceding(inTime(0, "one", 600), 10, NOW);
        assertEquals(preceding.tokens(), COST);
        assertFalse(preceding.moreUrgent());
        assertTrue(mOrder.preceding(inTime(2, "one", 600), 10, NOW).moreUrgent());
    }

    @Test
    public void aFullTurnOfEventsIsCountedByUrgency() {
        mOrder.recordArrival(inTime(2, "one", 500), NOW);
        mOrder.recordHeldBack(inTime(2, "one", 500));
        mOrder.recordEnd(inTime(2, "one", 500), true);
        assertEquals(mMetrics.counter("order.waiting.2").getCount(), 0);
        assertEquals(mMetrics.counter("order.held.2").getCount(), 1);
        assertEquals(mMetrics.counter("order.refused.2").getCount(), 1);
    }

    @Test
    public void manyRequestsOfManyOrganisationsMakeABoundedReport() {
        List<WaitingRequest> requests = new ArrayList<>();
        for (int number = 0; number < 500; number++) {
            requests.add(inTime(number % 10, "organisation-" + number, number * 10));
            mOrder.recordGrant(requests.get(number), NOW);
        }
        WaitingReport report = mOrder.report(requests, NOW);
        assertTrue(report.entries().size() <= WaitingReport.MAX_ENTRIES);
        double total = report.entries().stream().mapToDouble(WaitingReport.Entry::cost).sum();
        assertEquals(total, 500 * COST, 1);
        WaitingReport sum = report.plus(List.of(report, report));
        assertTrue(sum.entries().size() <= WaitingReport.MAX_ENTRIES);
        assertTrue(sum.granted().size() <= WaitingReport.MAX_ORGANISATIONS);
    }

    @Test
    public void oldEntriesCountNoLonger() {
        WaitingReport report = mOrder.report(List.of(inTime(0, "one", 500)), NOW);
        assertEquals(report.aged(200).entries().get(0).latestStartMillis(), 300);
        assertTrue(report.aged(WaitingReport.MAX_AGE_MILLIS + 1).entries().isEmpty());
    }

    @Test
    public void aRouterThatDecidesAloneTellsAndLeavesNothing() {
        WaitingRequest request = inTime(2, "one", 500);
        assertEquals(WaitingOrder.ALONE.report(List.of(), NOW), WaitingReport.NONE);
        assertEquals(WaitingOrder.ALONE.preceding(request, 10, NOW), Preceding.NONE);
        WaitingQueue<String> queue = new WaitingQueue<>(WaitingOrder.ALONE.isShared());
        queue.add(inTime(2, "one", 300).claim(), "less urgent");
        queue.add(inTime(0, "one", 900).claim(), "urgent");
        assertEquals(queue.drain(), List.of("less urgent", "urgent"));
        queue.add(inTime(0, "one", 900).claim(), "second", 2);
        queue.add(inTime(0, "one", 300).claim(), "third", 3);
        queue.add(inTime(0, "one", 900).claim(), "first", 1);
        assertEquals(queue.drain(), List.of("first", "second", "third"));
    }

    @Test
    public void theReportOfOneRouterIsBounded() {
        for (int organisation = 0; organisation < 500; organisation++) {
            mOrder.recordGrant(inTime(0, "organisation-" + organisation, 500), NOW);
        }
        WaitingReport report = mOrder.report(List.of(), NOW);
        assertEquals(report.granted().size(), WaitingReport.MAX_ORGANISATIONS);
    }
}
