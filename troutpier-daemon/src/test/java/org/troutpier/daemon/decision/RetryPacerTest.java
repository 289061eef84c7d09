package org.troutpier.daemon.decision;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the retry delays of refused callers. */
public final class RetryPacerTest {

    private static final long LIMIT = 4500;

    @Test
    public void delaysAreSpreadUpToTheLimit() {
        RetryPacer pacer = new RetryPacer(new Random(1));
        long first = pacer.nextDelayMillis(10_000, LIMIT);
        long second = pacer.nextDelayMillis(10_000, LIMIT);
        long third = pacer.nextDelayMillis(10_000, LIMIT);
        assertTrue(first >= 400 && first < second && second <= LIMIT && third <= LIMIT);
    }

    @Test
    public void moreGrantsShortenTheDelays() {
        RetryPacer busy = new RetryPacer(new Random(1));
        RetryPacer idle = new RetryPacer(new Random(1));
        for (int grant = 0; grant < 50; grant++) {
            busy.recordGrant(10_000);
        }
        busy.nextDelayMillis(10_000, LIMIT);
        idle.nextDelayMillis(10_000, LIMIT);
        assertTrue(busy.nextDelayMillis(10_000, LIMIT) < idle.nextDelayMillis(10_000, LIMIT));
    }

    @Test
    public void delaysLastBeyondTheBurst() {
        RetryPacer pacer = new RetryPacer(new Random(1));
        for (int grant = 0; grant < 50; grant++) {
            pacer.recordGrant(10_000);
        }
        for (int refusal = 0; refusal < 20; refusal++) {
            long delay = pacer.nextDelayMillis(10_000 + refusal * 10, LIMIT);
            assertTrue(delay > LIMIT * 0.6 && delay <= LIMIT, "delay " + delay);
        }
    }
}
