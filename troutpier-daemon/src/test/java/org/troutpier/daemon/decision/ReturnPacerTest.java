package org.troutpier.daemon.decision;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** When refused callers come back. */
public final class ReturnPacerTest {

    private static final long LIMIT = 4500;

    @Test
    public void refusedCallersAreSpreadOverTheTimeThatTheyHave() {
        ReturnPacer pacer = new ReturnPacer(new Random(1));
        long first = pacer.next(10_000, LIMIT);
        long second = pacer.next(10_000, LIMIT);
        long third = pacer.next(10_000, LIMIT);
        assertTrue(first >= 400 && first < second && second <= LIMIT && third <= LIMIT);
    }

    @Test
    public void theMorePlacesBecomeFreeTheSoonerCallersComeBack() {
        ReturnPacer busy = new ReturnPacer(new Random(1));
        ReturnPacer idle = new ReturnPacer(new Random(1));
        for (int grant = 0; grant < 50; grant++) {
            busy.granted(10_000);
        }
        busy.next(10_000, LIMIT);
        idle.next(10_000, LIMIT);
        assertTrue(busy.next(10_000, LIMIT) < idle.next(10_000, LIMIT));
    }

    @Test
    public void nobodyIsSentBackIntoTheBurstThatRefusedIt() {
        ReturnPacer pacer = new ReturnPacer(new Random(1));
        for (int grant = 0; grant < 50; grant++) {
            pacer.granted(10_000);
        }
        for (int refusal = 0; refusal < 20; refusal++) {
            long away = pacer.next(10_000 + refusal * 10, LIMIT);
            assertTrue(away > LIMIT * 0.6 && away <= LIMIT, "away " + away);
        }
    }
}
