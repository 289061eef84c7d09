package org.troutpier.daemon.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.ResultCode.Family;
import org.troutpier.daemon.upstream.AttemptEnd;

public class OutcomeTrackerTest {

    @Test
    public void reportsNotRunIfEveryAttemptProvedIt() {
        OutcomeTracker tracker = new OutcomeTracker();
        tracker.recordAttemptEnd(AttemptEnd.unreached("refused"));
        tracker.recordAttemptEnd(AttemptEnd.refused(false, "full"));
        assertEquals(tracker.reportableCode(ResultCode.NO_UPSTREAM), ResultCode.NO_UPSTREAM);
    }

    @Test
    public void reportsUnknownOnceAnAttemptWasLost() {
        OutcomeTracker tracker = new OutcomeTracker();
        tracker.recordAttemptEnd(AttemptEnd.lost("silent"));
        tracker.recordAttemptEnd(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "cut"));
        assertEquals(
                tracker.reportableCode(ResultCode.UPSTREAM_FAILED), ResultCode.OUTCOME_UNKNOWN);
        assertEquals(tracker.reportableCode(ResultCode.QUEUE_FULL), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void neverReportsMoreThanIsKnown() {
        long seed = System.nanoTime();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        ResultCode[] codes = ResultCode.values();
        for (int round = 0; round < 100_000; round++) {
            OutcomeTracker tracker = new OutcomeTracker();
            boolean ran = false;
            boolean lost = false;
            for (int attempt = random.nextInt(4); attempt > 0; attempt--) {
                switch (random.nextInt(4)) {
                    case 0 -> tracker.recordAttemptEnd(AttemptEnd.unreached("x"));
                    case 1 -> tracker.recordAttemptEnd(AttemptEnd.refused(false, "x"));
                    case 2 -> {
                        tracker.recordAttemptEnd(AttemptEnd.lost("x"));
                        ran = true;
                        lost = true;
                    }
                    default -> {
                        tracker.recordAttemptEnd(
                                AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "x"));
                        ran = true;
                    }
                }
            }
            Family reported = tracker.reportableCode(codes[random.nextInt(codes.length)]).family();
            if (ran) {
                assertNotEquals(reported, Family.NOT_RUN, "seed " + seed);
            }
            if (lost) {
                assertEquals(reported, Family.OUTCOME_UNKNOWN, "seed " + seed);
            }
        }
    }
}
