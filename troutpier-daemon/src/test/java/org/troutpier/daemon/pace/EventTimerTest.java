package org.troutpier.daemon.pace;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests the measurement of the time between events. */
public final class EventTimerTest {

    @Test
    public void theMeanIsTakenOverSeveralEvents() {
        EventTimer timer = new EventTimer();
        assertEquals(timer.record(1, 1000), 0.0, "the first event");
        assertEquals(timer.record(8, 1300), 0.0);
        assertEquals(timer.record(11, 1600), 60.0);
        assertEquals(timer.record(19, 2000), 50.0);
    }

    @Test
    public void aTimeInWhichTheCallerDidNotReadIsNotMeasured() {
        EventTimer timer = new EventTimer();
        timer.record(1, 1000);
        timer.interrupt();
        assertEquals(timer.record(20, 9000), 0.0);
        assertEquals(timer.record(28, 9400), 50.0);
    }
}
