package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the share of a limit for routers that reach all, some or none of the others. */
public final class LimitShareTest {

    /** Tolerance for rounding errors of sums. */
    private static final double ROUNDING = 1e-6;

    private static double allowed(
            double tolerance, int reachableRouters, int knownRouters, double assumedUsage) {
        return new LimitShare(1000, tolerance, reachableRouters, knownRouters, assumedUsage)
                .allowed();
    }

    @Test
    public void routersThatReachAllOthersUseExactlyTheLimit() {
        assertEquals(allowed(500, 60, 60, 0), 1000.0);
        assertEquals(allowed(0, 60, 60, 0), 1000.0);
        assertEquals(allowed(0, 70, 60, 0), 1000.0);
    }

    @Test
    public void anIsolatedRouterUsesItsFraction() {
        assertEquals(allowed(0, 1, 50, 0), 20.0);
        assertEquals(allowed(500, 1, 50, 0), 22.5);
    }

    @Test
    public void unrecordedUsageReducesTheShare() {
        assertEquals(allowed(0, 60, 60, 1000), 0.0);
        assertEquals(allowed(0, 60, 60, 250), 750.0);
        assertEquals(allowed(250, 60, 60, 1000), 62.5);
        assertEquals(allowed(500, 60, 60, 100), 1000.0);
    }

    /** Random partitions: all groups together stay within the limit and the tolerance. */
    @Test
    public void disconnectedGroupsTogetherStayWithinTheBound() {
        long seed = System.nanoTime();
        Random random = new Random(seed);
        for (int round = 0; round < 1000; round++) {
            int known = 1 + random.nextInt(300);
            double tolerance = random.nextInt(1000);
            double sum = 0;
            for (int left = known; left > 0; ) {
                int group = 1 + random.nextInt(left);
                sum += allowed(tolerance, group, known, 0);
                left -= group;
            }
            assertTrue(sum <= 1000 + tolerance + ROUNDING, "seed " + seed + " sum " + sum);
        }
    }
}
