package org.troutpier.daemon.pace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.daemon.pace.PrefillWatch.EngineState;

/** Tests when an engine that has not answered a prefill counts as silent. */
public final class PrefillWatchTest {

    private static final PrefillWatch.Limits LIMITS = new PrefillWatch.Limits(3, 400, 2000);

    private static EngineState state(double predicted, double weight) {
        return new EngineState(predicted, weight);
    }

    @Test
    public void theTimeOutFollowsTheQueueKnownNow() {
        PrefillWatch watch = new PrefillWatch(LIMITS, state(100, 0), 0);
        assertEquals(watch.remainingMillis(state(100, 0), 0), 400);
        assertEquals(watch.remainingMillis(state(300, 0), 400), 500);
        assertEquals(watch.remainingMillis(state(50, 0), 899), 1, "the longest queue counts");
        assertEquals(watch.remainingMillis(state(50, 0), 900), 0);
    }

    @Test
    public void anUnknownPredictionAndALongQueueAreBounded() {
        PrefillWatch unknown = new PrefillWatch(LIMITS, state(0, 0), 0);
        assertEquals(unknown.remainingMillis(state(0, 0), 500), 1500);
        assertEquals(unknown.remainingMillis(state(0, 0), 2000), 0);
        PrefillWatch queued = new PrefillWatch(LIMITS, state(9000, 0), 0);
        assertEquals(queued.remainingMillis(state(9000, 5), 2000), 0);
    }

    @Test
    public void anAnswerToAnotherCallExtendsTheTimeOut() {
        PrefillWatch watch = new PrefillWatch(LIMITS, state(100, 0), 0);
        assertEquals(watch.remainingMillis(state(100, 0.6), 400), 400);
        double decayed = 0.6 * Math.exp(-400 / PaceReport.RECENT_DECAY_MILLIS);
        assertEquals(watch.remainingMillis(state(100, decayed), 800), 0);
    }

    @Test
    public void answersBeforeTheCallAreNoSignOfLife() {
        PrefillWatch watch = new PrefillWatch(LIMITS, state(100, 4), 0);
        double decayed = 4 * Math.exp(-400 / PaceReport.RECENT_DECAY_MILLIS);
        assertTrue(decayed > 0.6, "more than one answer would leave");
        assertEquals(watch.remainingMillis(state(100, decayed), 400), 0);
    }

    @Test
    public void anEngineThatAnswersOthersForEverIsLeftAtLast() {
        PrefillWatch watch = new PrefillWatch(LIMITS, state(100, 0), 0);
        long now = 0;
        while (now < LIMITS.maxMillis()) {
            long remaining = watch.remainingMillis(state(100, 2 + now), now);
            assertTrue(remaining > 0 && now + remaining <= LIMITS.maxMillis(), "at " + now);
            now += remaining;
        }
        assertEquals(watch.remainingMillis(state(100, 9000), now), 0);
    }
}
