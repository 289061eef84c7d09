package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests sums over a sliding window. */
public final class SlidingWindowSumTest {

    private static final long WINDOW = 1600;
    private static final long STEP = 100;

    @Test
    public void anAmountCountsForAWindowAndAtMostOneStepMore() {
        SlidingWindowSum window = new SlidingWindowSum(WINDOW, 16);
        window.add(7, 10_000);
        assertEquals(window.sum(10_000), 7.0);
        assertEquals(window.sum(10_000 + WINDOW - 1), 7.0);
        assertEquals(window.sum(10_000 + WINDOW + STEP), 0.0);
    }

    @Test
    public void theOldestStepCountsInProportion() {
        SlidingWindowSum window = new SlidingWindowSum(WINDOW, 16);
        window.add(8, 10_000);
        assertEquals(window.sum(10_000 + WINDOW + STEP / 4), 6.0);
        assertEquals(window.sum(10_000 + WINDOW + STEP / 2), 4.0);
    }

    @Test
    public void subtractedAmountsDoNotCountAndNoStepBecomesNegative() {
        SlidingWindowSum window = new SlidingWindowSum(WINDOW, 16);
        window.add(5, 10_000);
        window.add(3, 10_500);
        window.subtract(5, 10_000, 10_600);
        assertEquals(window.sum(10_600), 3.0);
        window.subtract(50, 10_500, 10_600);
        assertEquals(window.sum(10_600), 0.0);
        window.add(4, 20_000);
        window.subtract(4, 10_000, 20_000);
        assertEquals(window.sum(20_000), 4.0);
    }

    @Test
    public void theMostRecentQuarterIsSummedSeparately() {
        SlidingWindowSum window = new SlidingWindowSum(WINDOW, 16);
        window.add(5, 10_000);
        window.add(3, 10_000 + WINDOW / 2);
        assertEquals(window.sum(10_000 + WINDOW / 2, 0.25), 3.0);
        assertEquals(window.sum(10_000 + WINDOW), 8.0);
        assertEquals(window.sum(10_000 + WINDOW, 0.25), 0.0);
    }

    @Test
    public void evenUsageAddsUpToTheWindow() {
        SlidingWindowSum window = new SlidingWindowSum(WINDOW, 16);
        for (long now = 0; now < 10 * WINDOW; now += 10) {
            window.add(1, now);
            if (now > 2 * WINDOW) {
                double used = window.sum(now);
                assertTrue(Math.abs(used - WINDOW / 10.0) <= STEP / 10.0, "used " + used);
            }
        }
    }
}
