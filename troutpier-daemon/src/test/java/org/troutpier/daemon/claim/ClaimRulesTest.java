package org.troutpier.daemon.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.declaration.ClassDeclaration.AnswerCommit;
import org.troutpier.common.declaration.ClassDeclaration.Kind;
import org.troutpier.common.id.ClassName;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.claim.ClaimRules.Decision;

public class ClaimRulesTest {

    private static final long LEASE_END = 100_000;

    private static ClassDeclaration declared(boolean repeatable, AnswerCommit commit) {
        return new ClassDeclaration(
                new ClassName("summary"),
                new PartnerId("trust"),
                Kind.COMPLETION,
                "model",
                repeatable,
                true,
                0,
                0,
                1000,
                null,
                commit,
                null,
                null);
    }

    private static ClaimRow row(ClaimRow.State state) {
        return new ClaimRow(
                state,
                new Incarnation("router-1~1"),
                "http://127.0.0.1:1",
                1,
                "attempt",
                "print",
                LEASE_END,
                LEASE_END * 2,
                null,
                null,
                "OUTCOME_UNKNOWN");
    }

    private static Decision decide(
            ClaimRow.State state, boolean repeatable, boolean gone, long wall) {
        ClassDeclaration declared = declared(repeatable, AnswerCommit.BEFORE_END_MARK);
        return ClaimRules.decide(row(state), "print", declared, gone, wall);
    }

    @Test
    public void reportsRunningWhileTheHolderLives() {
        assertEquals(decide(ClaimRow.State.RUNNING, true, false, 1000), Decision.RUNNING);
    }

    @Test
    public void takesOverARepeatableRequestWhenTheHolderIsGone() {
        assertEquals(decide(ClaimRow.State.RUNNING, true, true, 1000), Decision.TAKE_OVER);
    }

    @Test
    public void waitsForTheLeaseWhereTheEndMarkIsNotFencedByTheCommit() {
        ClassDeclaration declared = declared(true, AnswerCommit.AFTER_END_MARK);
        ClaimRow row = row(ClaimRow.State.RUNNING);
        assertEquals(ClaimRules.decide(row, "print", declared, true, LEASE_END), Decision.RUNNING);
        long after = LEASE_END + ClaimRules.CLOCK_MARGIN_MILLIS + 1;
        assertEquals(ClaimRules.decide(row, "print", declared, true, after), Decision.TAKE_OVER);
    }

    @Test
    public void returnsTheStoredAnswerAndTheStoredEnd() {
        assertEquals(decide(ClaimRow.State.ANSWERED, true, true, 1000), Decision.REPLAY);
        assertEquals(decide(ClaimRow.State.ENDED, false, true, 1000), Decision.REPORT_END);
        assertEquals(decide(ClaimRow.State.RELEASED, false, true, 1000), Decision.TAKE_OVER);
    }

    @Test
    public void refusesAKeyReusedForAnotherRequest() {
        ClassDeclaration declared = declared(true, AnswerCommit.BEFORE_END_MARK);
        assertEquals(
                ClaimRules.decide(row(ClaimRow.State.ANSWERED), "other", declared, true, 1),
                Decision.KEY_REUSED);
    }

    @Test
    public void neverTakesOverWhatMustNotBeRepeatedAndMayHaveRun() {
        long seed = System.nanoTime();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        for (int step = 0; step < 300_000; step++) {
            ClaimRow.State state =
                    ClaimRow.State.values()[random.nextInt(ClaimRow.State.values().length)];
            boolean repeatable = random.nextBoolean();
            boolean gone = random.nextBoolean();
            Decision decision = decide(state, repeatable, gone, random.nextInt(300_000));
            boolean proof = state == ClaimRow.State.RELEASED;
            if (!repeatable && !proof) {
                assertNotEquals(decision, Decision.TAKE_OVER, "seed " + seed + " " + state);
            }
            if (state == ClaimRow.State.ANSWERED) {
                assertEquals(decision, Decision.REPLAY, "seed " + seed);
            }
            assertTrue(decision != Decision.KEY_REUSED, "seed " + seed);
        }
    }
}
