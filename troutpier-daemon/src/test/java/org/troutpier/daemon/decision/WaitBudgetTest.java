package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.daemon.decision.WaitBudget.Prediction;

/** Tests how long requests wait for memory and the predictions behind it. */
public final class WaitBudgetTest {

    private static final Prediction SHORT_PREFILL = new Prediction(150, 50);
    private static final Prediction LONG_PREFILL = new Prediction(880, 50);

    @Test
    public void aRequestWaitsAsLongAsItCanMeetItsTarget() {
        assertEquals(
                new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME).waitMillis(SHORT_PREFILL), 700);
        assertEquals(
                new WaitBudget(900, 600, 13_400, QueueTier.IN_TIME).waitMillis(SHORT_PREFILL), 100);
        assertEquals(
                new WaitBudget(900, 800, 13_200, QueueTier.IN_TIME).waitMillis(SHORT_PREFILL), 0);
    }

    @Test
    public void aLateRequestWaitsWhileItsCallerIsLikelyConnected() {
        assertEquals(new WaitBudget(900, 0, 9000, QueueTier.LATE).waitMillis(SHORT_PREFILL), 2700);
        assertEquals(new WaitBudget(900, 0, 500, QueueTier.LATE).waitMillis(SHORT_PREFILL), 500);
        assertEquals(
                new WaitBudget(900, 0, 9000, QueueTier.CONTINUED).waitMillis(LONG_PREFILL), 900);
    }

    @Test
    public void noPrefillStartsThatAloneExceedsTheTarget() {
        assertTrue(new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME).allowsPrefill(SHORT_PREFILL));
        assertFalse(new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME).allowsPrefill(LONG_PREFILL));
        assertFalse(
                new WaitBudget(900, 800, 14_000, QueueTier.IN_TIME).allowsPrefill(SHORT_PREFILL));
        assertTrue(new WaitBudget(900, 800, 14_000, QueueTier.LATE).allowsPrefill(SHORT_PREFILL));
        assertFalse(new WaitBudget(900, 0, 14_000, QueueTier.LATE).allowsPrefill(LONG_PREFILL));
    }

    @Test
    public void aRequestWithTooLongAPredictedWaitIsRefusedAtOnce() {
        WaitBudget budget = new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME);
        assertFalse(budget.isExceededBy(0, SHORT_PREFILL));
        assertFalse(budget.isExceededBy(650, SHORT_PREFILL));
        assertTrue(budget.isExceededBy(750, SHORT_PREFILL));
    }

    @Test
    public void theMemoryWaitIsPredictedFromActiveAndQueuedRequests() {
        MemoryWaitForecast free = new MemoryWaitForecast(4, 100_000, 38_000, 0, 3600);
        assertEquals(free.waitMillis(3200), 0.0);
        MemoryWaitForecast full = new MemoryWaitForecast(4, 152_000, 38_000, 0, 3600);
        assertEquals(full.waitMillis(3200), 3200 * 3600 / 152_000.0, 0.1);
        MemoryWaitForecast exceeded = new MemoryWaitForecast(4, 160_000, 38_000, 0, 3600);
        assertEquals(exceeded.waitMillis(3200), 3200 * 3600 / 160_000.0, 0.1);
        MemoryWaitForecast queued = new MemoryWaitForecast(4, 152_000, 38_000, 32_000, 3600);
        assertEquals(queued.waitMillis(3200), 35_200 * 3600 / 152_000.0, 0.1);
        assertEquals(new MemoryWaitForecast(4, 152_000, 38_000, 32_000, 0).waitMillis(3200), 0.0);
    }

    @Test
    public void latenciesAreEstimatedFromMeasurements() {
        LatencyEstimator latency = new LatencyEstimator(60);
        assertEquals(latency.predictedMillis(), 60.0);
        for (int run = 0; run < 100; run++) {
            latency.record(200 + run % 2 * 20);
        }
        assertTrue(
                latency.predictedMillis() > 205 && latency.predictedMillis() < 260,
                "after " + latency.predictedMillis());
        for (int run = 0; run < 100; run++) {
            latency.record(-50);
        }
        assertEquals(latency.predictedMillis(), 0.0);
    }
}
