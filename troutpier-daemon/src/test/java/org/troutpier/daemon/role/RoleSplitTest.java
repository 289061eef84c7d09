package org.troutpier.daemon.role;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;
import org.troutpier.daemon.cluster.Demand;

/** How many engines read prompts. */
public final class RoleSplitTest {

    private static final long MEMORY = 90_000;
    private static final double PACE = 55;

    /** Demand of some requests a second, each with a prompt and a time in memory. */
    private static Demand demand(double perSecond, double prompt, double tokens, double millis) {
        double requests = perSecond * Demand.DECAY_MILLIS / 1000;
        return new Demand(
                requests * prompt, requests, requests * tokens * millis, requests, PACE, 1);
    }

    @Test
    public void aThirdReadsPromptsBeforeAnythingIsMeasured() {
        assertEquals(RoleSplit.prefillEngines(6, 3, MEMORY, Demand.NONE), 2);
        assertEquals(RoleSplit.prefillEngines(2, 0, MEMORY, Demand.NONE), 1);
        assertEquals(RoleSplit.prefillEngines(1, 0, MEMORY, Demand.NONE), 0);
    }

    @Test
    public void longAnswersTakeEnginesFromPrefill() {
        assertEquals(RoleSplit.prefillEngines(6, 3, MEMORY, demand(10, 5000, 8000, 3500)), 2);
        assertEquals(RoleSplit.prefillEngines(6, 3, MEMORY, demand(10, 1000, 9000, 4000)), 1);
    }

    @Test
    public void longPromptsTakeEnginesFromDecode() {
        assertEquals(RoleSplit.prefillEngines(6, 1, MEMORY, demand(12, 11_000, 12_000, 900)), 4);
    }

    @Test
    public void idleEnginesAreLeftAsTheyAre() {
        assertEquals(RoleSplit.prefillEngines(6, 3, MEMORY, demand(1, 5000, 8000, 3500)), 3);
    }

    @Test
    public void aSmallGainIsNoReason() {
        Demand demand = demand(10, 5000, 8000, 3500);
        assertEquals(RoleSplit.prefillEngines(6, 2, MEMORY, demand), 2);
    }

    @Test
    public void atRandomBothSidesAreAlwaysServedAndAChangeIsAlwaysBetter() {
        long seed = System.nanoTime();
        System.out.println("RoleSplitTest seed " + seed);
        Random random = new Random(seed);
        for (int step = 0; step < 100_000; step++) {
            int engines = 2 + random.nextInt(30);
            int prefill = 1 + random.nextInt(engines - 1);
            Demand demand =
                    demand(
                            1 + random.nextDouble() * 100,
                            100 + random.nextInt(20_000),
                            100 + random.nextInt(30_000),
                            10 + random.nextInt(10_000));
            int chosen = RoleSplit.prefillEngines(engines, prefill, MEMORY, demand);
            assertTrue(chosen >= 1 && chosen < engines, "seed " + seed);
            if (chosen != prefill) {
                assertTrue(
                        RoleSplit.use(engines, chosen, MEMORY, demand)
                                < RoleSplit.use(engines, prefill, MEMORY, demand),
                        "seed " + seed);
            }
        }
    }
}
