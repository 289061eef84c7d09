package org.troutpier.daemon.organisation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What counts in a sliding window. */
public final class UseWindowTest {

    private static final long WINDOW = 1600;
    private static final long STEP = 100;

    @Test
    public void whatWasUsedCountsForAWindowAndNoLongerThanOneStepMore() {
        UseWindow window = new UseWindow(WINDOW);
        window.add(7, 10_000);
        assertEquals(window.used(10_000).window(), 7);
        assertEquals(window.used(10_000 + WINDOW - 1).window(), 7);
        assertEquals(window.used(10_000 + WINDOW + STEP).window(), 0);
    }

    @Test
    public void theOldestStepFadesAsItLeavesTheWindow() {
        UseWindow window = new UseWindow(WINDOW);
        window.add(8, 10_000);
        assertEquals(window.used(10_000 + WINDOW + STEP / 4).window(), 6);
        assertEquals(window.used(10_000 + WINDOW + STEP / 2).window(), 4);
    }

    @Test
    public void whatIsGivenBackCountsNoMoreAndNeverBelowNothing() {
        UseWindow window = new UseWindow(WINDOW);
        window.add(5, 10_000);
        window.add(3, 10_500);
        window.giveBack(5, 10_000, 10_600);
        assertEquals(window.used(10_600).window(), 3);
        window.giveBack(50, 10_500, 10_600);
        assertEquals(window.used(10_600).window(), 0);
        window.add(4, 20_000);
        window.giveBack(4, 10_000, 20_000);
        assertEquals(window.used(20_000).window(), 4);
    }

    @Test
    public void theNewestQuarterIsSummedUpForItself() {
        UseWindow window = new UseWindow(WINDOW);
        window.add(5, 10_000);
        window.add(3, 10_000 + WINDOW / 2);
        assertEquals(window.used(10_000 + WINDOW / 2), new RecentUse(8, 3));
        assertEquals(window.used(10_000 + WINDOW), new RecentUse(8, 0));
        assertEquals(new RecentUse(8, 4).after(0.125), new RecentUse(7, 2));
    }

    @Test
    public void evenUseSumsUpToTheWindow() {
        UseWindow window = new UseWindow(WINDOW);
        for (long now = 0; now < 10 * WINDOW; now += 10) {
            window.add(1, now);
            if (now > 2 * WINDOW) {
                double used = window.used(now).window();
                assertTrue(Math.abs(used - WINDOW / 10.0) <= STEP / 10.0, "used " + used);
            }
        }
    }
}
