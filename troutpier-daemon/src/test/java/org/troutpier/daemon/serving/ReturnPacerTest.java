package org.troutpier.daemon.serving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** When refused callers come back, and how they are known again. */
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
    public void aRequestThatWasRefusedIsKnownForAWhile() {
        ReturningRequests returning = new ReturningRequests();
        PromptShape prompt =
                new PromptShape(
                        "m",
                        300,
                        10,
                        List.of(
                                new PromptShape.Part("shared", 100),
                                new PromptShape.Part("own", 200)));
        assertFalse(returning.comesBack(prompt, 1000));
        returning.refused(prompt, 1000);
        assertTrue(returning.comesBack(prompt, 5000));
        assertFalse(returning.comesBack(prompt, 60_000));
    }

    @Test
    public void refusalsOfOtherRoutersAreKnownAndOldOnesForgotten() {
        ReturningRequests returning = new ReturningRequests();
        PromptShape prompt =
                new PromptShape("m", 300, 10, List.of(new PromptShape.Part("own", 300)));
        returning.remember("own", 1000);
        assertTrue(returning.comesBack(prompt, 1001));
        for (int other = 0; other < 100; other++) {
            returning.remember("other" + other, 20_000);
        }
        assertFalse(returning.comesBack(prompt, 20_000));
    }
}
