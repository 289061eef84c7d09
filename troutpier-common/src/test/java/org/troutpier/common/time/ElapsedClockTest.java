package org.troutpier.common.time;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which changes of the clocks count as elapsed time. */
public final class ElapsedClockTest {

    private long mMonotonicMillis;
    private long mWallMillis;
    private ElapsedClock mClock;
    private long mBegan;

    @BeforeMethod
    void start() {
        mMonotonicMillis = 77;
        mWallMillis = 1_000_000;
        mClock =
                new ElapsedClock(
                        () -> TimeUnit.MILLISECONDS.toNanos(mMonotonicMillis), () -> mWallMillis);
        mBegan = mClock.getAsLong();
    }

    private void advance(long monotonic, long wall) {
        mMonotonicMillis += monotonic;
        mWallMillis += wall;
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mClock.getAsLong() - mBegan);
    }

    @Test
    public void theTimeOfASuspensionCounts() {
        advance(100, 100);
        assertEquals(elapsedMillis(), 100);
        advance(1, 10_001);
        assertEquals(elapsedMillis(), 10_101);
        advance(50, 50);
        assertEquals(elapsedMillis(), 10_151);
    }

    @Test
    public void aFreezeInWhichBothClocksGoOnCountsOnce() {
        advance(10_000, 10_000);
        assertEquals(elapsedMillis(), 10_000);
    }

    @Test
    public void correctionsOfTheTimeOfDayDoNotCount() {
        for (int look = 0; look < 100; look++) {
            advance(100, 120);
            elapsedMillis();
        }
        assertEquals(elapsedMillis(), 10_000);
        advance(100, 599);
        assertEquals(elapsedMillis(), 10_100);
    }

    @Test
    public void aTimeOfDayThatIsSetBackTakesNothingAway() {
        advance(100, -20_000);
        assertEquals(elapsedMillis(), 100);
        advance(100, 100);
        assertEquals(elapsedMillis(), 200);
    }

    @Test
    public void itNeverGoesBackWhateverIsDoneToTheTimeOfDay() {
        long seed = System.nanoTime();
        System.out.println("ElapsedClockTest seed " + seed);
        Random random = new Random(seed);
        long last = mClock.getAsLong();
        for (int look = 0; look < 10_000; look++) {
            advance(random.nextInt(50), random.nextInt(10_000) - 5000);
            long now = mClock.getAsLong();
            assertTrue(now >= last);
            last = now;
        }
    }
}
