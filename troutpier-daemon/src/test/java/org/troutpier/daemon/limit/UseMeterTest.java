package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What was used and asked lately. */
public final class UseMeterTest {

    private static final long NOW = 100_000;

    private UseMeter mMeter;

    @BeforeMethod
    void start() {
        mMeter = new UseMeter(4000);
    }

    @Test
    public void useLeavesThePaceAndThenTheWindow() {
        mMeter.asked(5, NOW);
        mMeter.used(3, NOW);
        assertEquals(mMeter.recent(NOW), new RecentUse(3, 3, 5));
        assertEquals(mMeter.recent(NOW + 2000), new RecentUse(3, 0, 0));
        assertEquals(mMeter.recent(NOW + 5000), RecentUse.NONE);
    }

    @Test
    public void whatIsTakenBackCountsNoMore() {
        mMeter.used(3, NOW);
        mMeter.takeBack(1, NOW, NOW + 500);
        assertEquals(mMeter.recent(NOW + 500).window(), 2);
        mMeter.takeBack(3, NOW + 250, NOW + 500);
        assertEquals(mMeter.recent(NOW + 500).window(), 2, "nothing was used then");
    }

    @Test
    public void onlyTheNewestPartIsKept() {
        mMeter.used(7, NOW);
        mMeter.used(2, NOW + 2000);
        mMeter.keepNewest(0.25, NOW + 2500);
        assertEquals(mMeter.recent(NOW + 2500).window(), 2);
        mMeter.keepNewest(0.25, NOW + 3500);
        assertEquals(mMeter.recent(NOW + 3500).window(), 0);
    }
}
