package org.troutpier.daemon.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How many calls an upstream takes, as its answers, refusals and returns show. */
public final class ConcurrencyLimitTest {

    private static final int SLOTS = 6;

    private WorkEstimate mWork;

    @BeforeMethod
    void setUp() {
        mWork = new WorkEstimate();
    }

    private int settledLimit(double workMillis, double answerMillis, double slowdown) {
        WorkEstimate work = new WorkEstimate();
        record(work, (long) workMillis, 1);
        ConcurrencyLimit limit = new ConcurrencyLimit(SLOTS, 0, 0);
        return limit.limit(work.callsWithin(answerMillis, SLOTS, slowdown), 10_000);
    }

    private static void record(WorkEstimate work, long millis, int calls) {
        for (int answer = 0; answer < 5; answer++) {
            work.record(millis, SLOTS, calls);
        }
    }

    @Test
    public void oneLongAnswerPredictsNothing() {
        mWork.record(5000, SLOTS, 1);
        assertEquals(mWork.answerMillis(SLOTS, 1, 1), 0.0);
        ConcurrencyLimit limit = new ConcurrencyLimit(SLOTS, 0, 0);
        assertTrue(limit.limit(mWork.callsWithin(170, SLOTS, 1), 10_000) > SLOTS);
    }

    @Test
    public void asManyCallsAreTakenAsAreAnsweredWithinTheTarget() {
        int limit = settledLimit(40, 170, 1);
        record(mWork, 40, 1);
        assertTrue(mWork.answerMillis(SLOTS, limit, 1) <= 170, "limit " + limit);
        assertTrue(mWork.answerMillis(SLOTS, limit + 1, 1) > 170, "limit " + limit);
    }

    @Test
    public void aSlowUpstreamTakesFewerCallsButNeverFewerThanItsSlots() {
        assertTrue(settledLimit(40, 170, 1.5) < settledLimit(40, 170, 1));
        assertEquals(settledLimit(40, 170, 10), SLOTS);
    }

    @Test
    public void theEstimateIsTheSameWhetherAnswersWaitedForASlotOrNot() {
        record(mWork, 80, 2 * SLOTS);
        assertEquals(mWork.meanMillis(), 40.0);
    }

    @Test
    public void anUpstreamThatReturnsBeginsAtItsSlots() {
        ConcurrencyLimit limit = new ConcurrencyLimit(SLOTS, 0, 0);
        assertEquals(limit.limit(100, 0), SLOTS);
        int risen = limit.limit(100, 5000);
        assertTrue(risen > SLOTS);
        limit.recordLost(5000);
        assertEquals(limit.limit(100, 5000), SLOTS);
        assertEquals(limit.limit(100, 10_000), risen);
    }

    @Test
    public void aNewRouterTakesTheCallsOfTheOthersForGranted() {
        assertEquals(new ConcurrencyLimit(SLOTS, 15, 0).limit(100, 0), 15);
    }

    @Test
    public void aFullUpstreamGetsNoCallForAMomentAndHalfAsManyAfterwards() {
        ConcurrencyLimit limit = new ConcurrencyLimit(SLOTS, 0, 0);
        int before = limit.limit(100, 5000);
        limit.recordFull(5000, 40);
        assertEquals(limit.limit(100, 5039), 0);
        assertEquals(limit.cause(100, 5039), ConcurrencyLimit.Cause.FULL);
        assertTrue(limit.limit(100, 5040) <= before / 2 + 1);
        assertEquals(limit.cause(100, 5040), ConcurrencyLimit.Cause.BOUND);
    }
}
