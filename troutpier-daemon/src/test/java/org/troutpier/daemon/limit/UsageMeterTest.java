package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the recent usage and demand at one router. */
public final class UsageMeterTest {

    private static final long NOW = 100_000;

    private UsageMeter mMeter;

    @BeforeMethod
    void start() {
        mMeter = new UsageMeter(4000);
    }

    @Test
    public void usageLeavesThePacedPartBeforeTheWindow() {
        mMeter.recordRequested(5, NOW);
        mMeter.recordUsed(3, NOW);
        assertEquals(mMeter.recent(NOW), new RecentUsage(3, 3, 5));
        assertEquals(mMeter.recent(NOW + 2000), new RecentUsage(3, 0, 0));
        assertEquals(mMeter.recent(NOW + 5000), RecentUsage.NONE);
    }

    @Test
    public void subtractedUsageDoesNotCount() {
        mMeter.recordUsed(3, NOW);
        mMeter.subtract(1, NOW, NOW + 500);
        assertEquals(mMeter.recent(NOW + 500).window(), 2);
        mMeter.subtract(3, NOW + 250, NOW + 500);
        assertEquals(mMeter.recent(NOW + 500).window(), 2, "nothing was used then");
    }

    @Test
    public void olderUsageIsDiscarded() {
        mMeter.recordUsed(7, NOW);
        mMeter.recordUsed(2, NOW + 2000);
        mMeter.discardOlder(0.25, NOW + 2500);
        assertEquals(mMeter.recent(NOW + 2500).window(), 2);
        mMeter.discardOlder(0.25, NOW + 3500);
        assertEquals(mMeter.recent(NOW + 3500).window(), 0);
    }
}
