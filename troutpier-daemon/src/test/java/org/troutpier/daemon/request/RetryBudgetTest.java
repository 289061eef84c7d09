package org.troutpier.daemon.request;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.troutpier.common.id.PartnerId;

public class RetryBudgetTest {

    private static final PartnerId TRUST = new PartnerId("trust");

    @Test
    public void tenFirstAttemptsEarnOneRetry() {
        RetryBudget budget = new RetryBudget();
        for (int tries = 0; tries < 9; tries++) {
            budget.recordFirstAttempt(TRUST);
        }
        assertFalse(budget.tryAcquire(TRUST));
        budget.recordFirstAttempt(TRUST);
        assertTrue(budget.tryAcquire(TRUST));
        assertFalse(budget.tryAcquire(TRUST));
    }

    @Test
    public void budgetsOfPartnersAreSeparate() {
        RetryBudget budget = new RetryBudget();
        for (int tries = 0; tries < 100; tries++) {
            budget.recordFirstAttempt(new PartnerId("association"));
        }
        assertFalse(budget.tryAcquire(TRUST));
    }

    @Test
    public void retriesNeverExceedATenthInAnyOrder() {
        long seed = System.nanoTime();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget();
        long first = 0;
        long retries = 0;
        for (int step = 0; step < 300_000; step++) {
            if (random.nextInt(3) == 0) {
                budget.recordFirstAttempt(TRUST);
                first++;
            } else if (budget.tryAcquire(TRUST)) {
                retries++;
            }
            assertTrue(retries * 10 <= first, "seed " + seed + " step " + step);
        }
    }

    @Test
    public void aRetryThatWasNotUsedIsGivenBack() {
        RetryBudget budget = new RetryBudget();
        for (int tries = 0; tries < 10; tries++) {
            budget.recordFirstAttempt(TRUST);
        }
        assertTrue(budget.tryAcquire(TRUST));
        assertFalse(budget.tryAcquire(TRUST));
        budget.giveBack(TRUST);
        assertTrue(budget.tryAcquire(TRUST));
        assertFalse(budget.tryAcquire(TRUST));
    }
}
