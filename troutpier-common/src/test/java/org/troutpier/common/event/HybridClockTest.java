package org.troutpier.common.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

public class HybridClockTest {

    @Test
    public void neverGoesBackWhenTheWallClockDoes() {
        AtomicLong wall = new AtomicLong(1000);
        HybridClock clock = new HybridClock(wall::get);
        long first = clock.next();
        wall.set(500);
        assertTrue(clock.next() > first);
    }

    @Test
    public void isLaterThanWhatItHasSeen() {
        HybridClock clock = new HybridClock(() -> 1000);
        long seen = 5000L << HybridClock.COUNTER_BITS;
        clock.observe(seen);
        assertTrue(clock.next() > seen);
    }

    @Test
    public void theRingKeepsTheLatestAndStaysBounded() {
        EventRing ring = new EventRing("p", 8, new HybridClock());
        for (int number = 0; number < 100; number++) {
            ring.record("kind", "s" + number % 2, "" + number);
        }
        assertEquals(ring.eventsAbout("").size(), 8);
        assertEquals(ring.eventsAbout("s1").size(), 4);
        assertEquals(ring.eventsAbout("").get(7).detail(), "99");
    }
}
