package org.troutpier.daemon.decision;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** When refused callers come back. */
public final class RetryPacerTest {

    private static final long LIMIT = 4500;

    @Test
    public void refusedCallersAreSpreadOverTheTimeThatTheyHave() {
        RetryPacer pacer = new RetryPacer(new Random(1));
        long first = pacer.nextDelayMillis(10_000, LIMIT);
        long second = pacer.nextDelayMillis(10_000, LIMIT);
        long third = pacer.nextDelayMillis(10_000, LIMIT);
        assertTrue(first >= 400 && first < second && second <= LIMIT && third <= LIMIT);
    }

    @Test
    public void theMorePlacesBecomeFreeTheSoonerCallersComeBack() {
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
    public void nobodyIsSentBackIntoTheBurstThatRefusedIt() {
        RetryPacer pacer = new RetryPacer(new Random(1));
        for (int grant = 0; grant < 50; grant++) {
            pacer.recordGrant(10_000);
        }
        for (int refusal = 0; refusal < 20; refusal++) {
            long away = pacer.nextDelayMillis(10_000 + refusal * 10, LIMIT);
            assertTrue(away > LIMIT * 0.6 && away <= LIMIT, "away " + away);
        }
    }
}
