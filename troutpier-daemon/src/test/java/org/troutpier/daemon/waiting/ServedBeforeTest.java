package org.troutpier.daemon.waiting;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.limit.FlowKey;

/** Tests what counts as served before a request. */
public final class ServedBeforeTest {

    private static final PartnerId OWN = new PartnerId("own");
    private static final PartnerId OTHER = new PartnerId("other");
    private static final long NOW = 10_000;

    private static Claim claim(
            QueueTier tier, int rank, PartnerId organisation, long startMillis, double cost) {
        return new Claim(tier, new FlowKey(rank, organisation), NOW + startMillis, cost);
    }

    @Test
    public void lateAndLessUrgentRequestsAreServedAfterwards() {
        ServedBefore sum = new ServedBefore(claim(QueueTier.IN_TIME, 1, OWN, 700, 5000), NOW);
        sum.add(claim(QueueTier.LATE, 0, OWN, 100, 1000));
        sum.add(claim(QueueTier.IN_TIME, 2, OWN, 100, 1000));
        sum.add(claim(QueueTier.IN_TIME, 1, OWN, 701, 1000));
        assertEquals(sum.cost(), 0.0);
        sum.add(claim(QueueTier.IN_TIME, 0, OTHER, 2000, 20));
        sum.add(claim(QueueTier.IN_TIME, 1, OWN, 600, 3));
        assertEquals(sum.cost(), 23.0);
    }

    @Test
    public void floodOfAnotherOrganisationCountsByItsTurns() {
        ServedBefore sum = new ServedBefore(claim(QueueTier.IN_TIME, 1, OWN, 700, 5000), NOW);
        sum.add(claim(QueueTier.IN_TIME, 1, OTHER, 100, 90_000));
        assertEquals(sum.cost(), 5000.0);
        sum.add(claim(QueueTier.IN_TIME, 1, OWN, 100, 4000));
        assertEquals(sum.cost(), 13_000.0);
    }

    @Test
    public void whatOtherRoutersDoNotListCountsAsBefore() {
        WaitingReport report =
                new WaitingReport(
                        List.of(
                                entry("model", QueueTier.LATE, 30_000),
                                entry("model", QueueTier.IN_TIME, 2000),
                                entry("another", QueueTier.IN_TIME, 500)),
                        Map.of(),
                        0);
        ServedBefore sum = new ServedBefore(claim(QueueTier.IN_TIME, 1, OWN, 700, 5000), NOW);
        sum.add(report, "model", 32_500);
        assertEquals(sum.cost(), 2000.0);
        ServedBefore withOlder = new ServedBefore(claim(QueueTier.IN_TIME, 1, OWN, 700, 5000), NOW);
        withOlder.add(report, "model", 40_500);
        assertEquals(withOlder.cost(), 10_000.0);
    }

    private static WaitingReport.Entry entry(String service, QueueTier tier, double cost) {
        return new WaitingReport.Entry(service, tier, 1, OWN, cost, 300);
    }
}
