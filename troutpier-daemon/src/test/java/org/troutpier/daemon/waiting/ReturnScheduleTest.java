package org.troutpier.daemon.waiting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.limit.FlowKey;

/** Tests the return times of refused requests. */
public final class ReturnScheduleTest {

    private static final long NOW = 10_000;
    private static final long LIMIT = 4500;

    private final Random mRandom = new Random(1);

    private static Claim claim(int rank) {
        return new Claim(QueueTier.LATE, new FlowKey(rank, FlowKey.NO_ORGANISATION), NOW, 5000);
    }

    private static ReturnSchedule.Outlook outlook(boolean burst, double peersReturning) {
        return new ReturnSchedule.Outlook(10, burst, 0, peersReturning);
    }

    @Test
    public void returnsFollowEachOtherAsCapacityBecomesFree() {
        ReturnSchedule schedule = new ReturnSchedule(mRandom);
        for (int expected = 500; expected <= 4000; expected += 500) {
            long delay = schedule.assignDelayMillis(claim(1), outlook(false, 0), NOW, LIMIT);
            assertEquals(delay, expected, expected * 0.08 + 1);
        }
        assertEquals(schedule.returningCost(NOW), 40_000.0);
        assertEquals(schedule.returningCost(NOW + LIMIT), 0.0);
    }

    @Test
    public void returnsThatOtherRoutersAssignedComeFirst() {
        ReturnSchedule schedule = new ReturnSchedule(mRandom);
        long delay = schedule.assignDelayMillis(claim(1), outlook(false, 20_000), NOW, LIMIT);
        assertEquals(delay, 2500, 201);
        ReturnSchedule crowded = new ReturnSchedule(mRandom);
        assertTrue(
                crowded.assignDelayMillis(claim(1), outlook(false, 1e6), NOW, LIMIT)
                        >= LIMIT * 0.92);
    }

    @Test
    public void urgentRequestReturnsBeforeLessUrgentOnes() {
        ReturnSchedule schedule = new ReturnSchedule(mRandom);
        for (int refusal = 0; refusal < 6; refusal++) {
            schedule.assignDelayMillis(claim(2), outlook(false, 0), NOW, LIMIT);
        }
        long urgent = schedule.assignDelayMillis(claim(0), outlook(false, 0), NOW, LIMIT);
        assertEquals(urgent, 500, 41);
    }

    @Test
    public void returnsAreAssignedAfterTheBurstAndWithinTheLimit() {
        ReturnSchedule schedule = new ReturnSchedule(mRandom);
        for (int refusal = 0; refusal < 100; refusal++) {
            long delay = schedule.assignDelayMillis(claim(1), outlook(true, 0), NOW, LIMIT);
            assertTrue(delay > LIMIT * 0.64 && delay <= LIMIT, "delay " + delay);
        }
        ReturnSchedule.Outlook nothingLeft = new ReturnSchedule.Outlook(0, false, 0, 0);
        assertTrue(schedule.assignDelayMillis(claim(1), nothingLeft, NOW, LIMIT) <= LIMIT);
    }

    @Test
    public void whatIsToReturnIsAddedUpOverRouters() {
        WaitingReport.Entry entry =
                new WaitingReport.Entry(
                        "model", QueueTier.LATE, 1, FlowKey.NO_ORGANISATION, 5000, 300);
        WaitingReport report = new WaitingReport(List.of(entry), Map.of(), 0).plusReturning(7000);
        assertEquals(report.returning(), 7000.0);
        assertEquals(report.entries(), List.of(entry));
        assertEquals(report.plus(List.of(report)).returning(), 14_000.0);
        assertSame(WaitingReport.NONE.plusReturning(0), WaitingReport.NONE);
    }
}
