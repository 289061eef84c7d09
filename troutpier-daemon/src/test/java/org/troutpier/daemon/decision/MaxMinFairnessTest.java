package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

/** With what chance each of several askers is admitted. */
public final class MaxMinFairnessTest {

    private static final double EXACT = 1e-9;

    private static double of(String asker, double chance, Map<String, Double> asked) {
        return new MaxMinFairness<>(asked, chance).probabilityFor(asker);
    }

    @Test
    public void whoAsksForLessThanItsTurnIsAdmitted() {
        Map<String, Double> asked = Map.of("flood", 90.0, "calm", 4.0, "small", 6.0);
        assertEquals(of("calm", 0.3, asked), 1, EXACT);
        assertEquals(of("small", 0.3, asked), 1, EXACT);
        assertEquals(of("flood", 0.3, asked), 20 / 90.0, EXACT);
    }

    @Test
    public void whereNobodyAsksForLessAllAreAdmittedTheSame() {
        Map<String, Double> asked = Map.of("one", 50.0, "two", 25.0);
        assertEquals(of("one", 0.2, asked), 7.5 / 50, EXACT);
        assertEquals(of("two", 0.2, asked), 7.5 / 25, EXACT);
    }

    @Test
    public void oneThatIsAloneOrUnknownHasTheChanceOfAll() {
        assertEquals(of("one", 0.2, Map.of("one", 50.0)), 0.2, EXACT);
        assertEquals(of("new", 0.2, Map.of("one", 50.0)), 0.2, EXACT);
        assertEquals(of("new", 0.2, Map.of()), 0.2, EXACT);
    }
}
