package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Which of two statements about a rate holds. */
public final class NamedRateTest {

    private static final NamedRate LOW = new NamedRate(2, 1000);

    @Test
    public void theLaterStatementHoldsWhateverItSays() {
        NamedRate higher = new NamedRate(5, 800);
        NamedRate ended = new NamedRate(NamedRate.UNLIMITED, 800);
        assertEquals(LOW.latest(higher), higher);
        assertEquals(higher.latest(LOW), higher);
        assertEquals(LOW.latest(ended), ended);
        assertEquals(ended.latest(LOW), ended);
    }

    @Test
    public void theLowerOneHoldsWhereTheOrderIsNotKnown() {
        NamedRate higher = new NamedRate(5, 950);
        assertEquals(LOW.latest(higher), LOW);
        assertEquals(higher.latest(LOW), LOW);
    }

    @Test
    public void anyStatementIsLaterThanNone() {
        assertEquals(NamedRate.NEVER.latest(LOW), LOW);
        assertEquals(LOW.latest(NamedRate.NEVER), LOW);
        assertEquals(NamedRate.NEVER.later(1000), NamedRate.NEVER);
        assertEquals(LOW.later(500), new NamedRate(2, 1500));
    }
}
