package org.troutpier.daemon.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.daemon.plain.SecondCallPolicy.Progress;
import org.troutpier.daemon.plain.SecondCallPolicy.Verdict;

public final class SecondCallPolicyTest {

    private static final SecondCallPolicy POLICY = new SecondCallPolicy(true, 2, 300, 600);

    @Test
    public void aSecondCallNeedsAnAttemptTimeAndNoOtherBesideTheFirst() {
        assertEquals(
                POLICY.decide(new Progress(1, 1, true, false, 5000)), Verdict.FURTHER_UPSTREAM);
        assertEquals(POLICY.decide(new Progress(2, 1, true, false, 5000)), Verdict.IN_PROGRESS);
        assertEquals(POLICY.decide(new Progress(1, 2, true, false, 5000)), Verdict.NO_ATTEMPT);
        assertEquals(POLICY.decide(new Progress(1, 1, false, false, 5000)), Verdict.NO_ATTEMPT);
        assertEquals(POLICY.decide(new Progress(1, 1, true, false, 300)), Verdict.NO_TIME);
    }

    @Test
    public void anUpstreamThatTurnedTheRequestAwayNeedsNoAttempt() {
        assertEquals(POLICY.decide(new Progress(1, 2, true, true, 5000)), Verdict.SAME_UPSTREAM);
        assertEquals(POLICY.decide(new Progress(1, 2, true, true, 300)), Verdict.NO_TIME);
    }

    @Test
    public void silenceIsWatchedForOnlyWhereASecondCallIsAllowedAndInTime() {
        assertTrue(POLICY.watches(901));
        assertFalse(POLICY.watches(900));
        assertFalse(new SecondCallPolicy(false, 2, 300, 600).watches(5000));
        assertFalse(new SecondCallPolicy(true, 1, 300, 600).watches(5000));
    }

    @Test
    public void checksAreBoundedInNumber() {
        assertEquals(POLICY.nextCheckMillis(280), 320);
        int checks = 0;
        for (long sent = 600; sent < 60_000; sent += POLICY.nextCheckMillis(sent)) {
            checks++;
        }
        assertTrue(checks <= 12, "checks " + checks);
        assertEquals(new SecondCallPolicy(true, 2, 0, 0).nextCheckMillis(0), 1);
    }
}
