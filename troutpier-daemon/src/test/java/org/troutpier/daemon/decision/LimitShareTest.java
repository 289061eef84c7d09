package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** How much of a limit routers use that hear all, some or none of the others. */
public final class LimitShareTest {

    /** What adding up numbers with fractions may be off by. */
    private static final double ROUNDING = 1e-6;

    private static double most(double tolerance, int heard, int known, double assumed) {
        return new LimitShare(1000, tolerance, heard, known, assumed).allowed();
    }

    @Test
    public void routersThatHearAllUseTheWholeLimitAndNoMore() {
        assertEquals(most(500, 60, 60, 0), 1000.0);
        assertEquals(most(0, 60, 60, 0), 1000.0);
        assertEquals(most(0, 70, 60, 0), 1000.0);
    }

    @Test
    public void aRouterThatIsAloneUsesItsPart() {
        assertEquals(most(0, 1, 50, 0), 20.0);
        assertEquals(most(500, 1, 50, 0), 22.5);
    }

    @Test
    public void whatMayHaveBeenUsedAndNobodyRemembersLeavesThatMuchLess() {
        assertEquals(most(0, 60, 60, 1000), 0.0);
        assertEquals(most(0, 60, 60, 250), 750.0);
        assertEquals(most(250, 60, 60, 1000), 62.5);
        assertEquals(most(500, 60, 60, 100), 1000.0);
    }

    /**
     * However the routers fall apart, their groups keep to the limit and the tolerance together.
     */
    @Test
    public void groupsThatDoNotHearEachOtherKeepToTheBoundTogether() {
        long seed = System.nanoTime();
        Random random = new Random(seed);
        for (int round = 0; round < 1000; round++) {
            int known = 1 + random.nextInt(300);
            double tolerance = random.nextInt(1000);
            double sum = 0;
            for (int left = known; left > 0; ) {
                int group = 1 + random.nextInt(left);
                sum += most(tolerance, group, known, 0);
                left -= group;
            }
            assertTrue(sum <= 1000 + tolerance + ROUNDING, "seed " + seed + " sum " + sum);
        }
    }
}
