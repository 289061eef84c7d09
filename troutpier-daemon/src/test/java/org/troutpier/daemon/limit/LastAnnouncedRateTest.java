package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests which of two announcements of a rate takes precedence. */
public final class LastAnnouncedRateTest {

    private static final LastAnnouncedRate LOW = new LastAnnouncedRate(2, 1000);

    @Test
    public void theMoreRecentAnnouncementTakesPrecedence() {
        LastAnnouncedRate higher = new LastAnnouncedRate(5, 800);
        LastAnnouncedRate ended = new LastAnnouncedRate(LastAnnouncedRate.UNLIMITED, 800);
        assertEquals(LOW.mostRecent(higher), higher);
        assertEquals(higher.mostRecent(LOW), higher);
        assertEquals(LOW.mostRecent(ended), ended);
        assertEquals(ended.mostRecent(LOW), ended);
    }

    @Test
    public void theLowerRateTakesPrecedenceIfTheOrderIsUnknown() {
        LastAnnouncedRate higher = new LastAnnouncedRate(5, 950);
        assertEquals(LOW.mostRecent(higher), LOW);
        assertEquals(higher.mostRecent(LOW), LOW);
    }

    @Test
    public void anyAnnouncementIsMoreRecentThanNone() {
        assertEquals(LastAnnouncedRate.NEVER.mostRecent(LOW), LOW);
        assertEquals(LOW.mostRecent(LastAnnouncedRate.NEVER), LOW);
        assertEquals(LastAnnouncedRate.NEVER.aged(1000), LastAnnouncedRate.NEVER);
        assertEquals(LOW.aged(500), new LastAnnouncedRate(2, 1500));
    }
}
