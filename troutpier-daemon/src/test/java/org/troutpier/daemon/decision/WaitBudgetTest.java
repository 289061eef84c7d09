package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.daemon.decision.WaitBudget.Prediction;

/** How long a request waits for memory, and what is predicted of it. */
public final class WaitBudgetTest {

    private static final Prediction READ_SOON = new Prediction(150, 50);
    private static final Prediction READ_LATE = new Prediction(880, 50);

    @Test
    public void aRequestWaitsAsLongAsItCanStillBeInTime() {
        assertEquals(new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME).waitMillis(READ_SOON), 700);
        assertEquals(
                new WaitBudget(900, 600, 13_400, QueueTier.IN_TIME).waitMillis(READ_SOON), 100);
        assertEquals(new WaitBudget(900, 800, 13_200, QueueTier.IN_TIME).waitMillis(READ_SOON), 0);
    }

    @Test
    public void aLateRequestWaitsWhileItsCallerIsLikelyToBeThere() {
        assertEquals(new WaitBudget(900, 0, 9000, QueueTier.LATE).waitMillis(READ_SOON), 2700);
        assertEquals(new WaitBudget(900, 0, 500, QueueTier.LATE).waitMillis(READ_SOON), 500);
        assertEquals(new WaitBudget(900, 0, 9000, QueueTier.CONTINUED).waitMillis(READ_LATE), 900);
    }

    @Test
    public void noPromptIsReadWhoseReadingAloneTakesTooLong() {
        assertTrue(new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME).allowsPrefill(READ_SOON));
        assertFalse(new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME).allowsPrefill(READ_LATE));
        assertFalse(new WaitBudget(900, 800, 14_000, QueueTier.IN_TIME).allowsPrefill(READ_SOON));
        assertTrue(new WaitBudget(900, 800, 14_000, QueueTier.LATE).allowsPrefill(READ_SOON));
        assertFalse(new WaitBudget(900, 0, 14_000, QueueTier.LATE).allowsPrefill(READ_LATE));
    }

    @Test
    public void whatIsKnownToBeTooLateIsRefusedAtOnce() {
        WaitBudget window = new WaitBudget(900, 0, 14_000, QueueTier.IN_TIME);
        assertFalse(window.isExceededBy(0, READ_SOON));
        assertFalse(window.isExceededBy(650, READ_SOON));
        assertTrue(window.isExceededBy(750, READ_SOON));
    }

    @Test
    public void roomIsPredictedFromWhatRunsAndWhatWaits() {
        MemoryWaitForecast free = new MemoryWaitForecast(4, 100_000, 38_000, 0, 3600);
        assertEquals(free.waitMillis(3200), 0.0);
        MemoryWaitForecast full = new MemoryWaitForecast(4, 152_000, 38_000, 0, 3600);
        assertEquals(full.waitMillis(3200), 3200 * 3600 / 152_000.0, 0.1);
        MemoryWaitForecast grown = new MemoryWaitForecast(4, 160_000, 38_000, 0, 3600);
        assertEquals(grown.waitMillis(3200), 3200 * 3600 / 160_000.0, 0.1);
        MemoryWaitForecast queue = new MemoryWaitForecast(4, 152_000, 38_000, 32_000, 3600);
        assertEquals(queue.waitMillis(3200), 35_200 * 3600 / 152_000.0, 0.1);
        assertEquals(new MemoryWaitForecast(4, 152_000, 38_000, 32_000, 0).waitMillis(3200), 0.0);
    }

    @Test
    public void delaysAreLearnt() {
        LatencyEstimator delay = new LatencyEstimator(60);
        assertEquals(delay.predictedMillis(), 60.0);
        for (int run = 0; run < 100; run++) {
            delay.record(200 + run % 2 * 20);
        }
        assertTrue(
                delay.predictedMillis() > 205 && delay.predictedMillis() < 260,
                "after " + delay.predictedMillis());
        for (int run = 0; run < 100; run++) {
            delay.record(-50);
        }
        assertEquals(delay.predictedMillis(), 0.0);
    }
}
