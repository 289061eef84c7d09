package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

/** Tests max-min fair admission probabilities. */
public final class MaxMinFairnessTest {

    private static final double EXACT = 1e-9;

    private static double probability(
            String requester, double overall, Map<String, Double> demand) {
        return new MaxMinFairness<>(demand, overall).probabilityFor(requester);
    }

    @Test
    public void demandBelowTheFairShareIsAdmitted() {
        Map<String, Double> demand = Map.of("flood", 90.0, "calm", 4.0, "small", 6.0);
        assertEquals(probability("calm", 0.3, demand), 1, EXACT);
        assertEquals(probability("small", 0.3, demand), 1, EXACT);
        assertEquals(probability("flood", 0.3, demand), 20 / 90.0, EXACT);
    }

    @Test
    public void equalAmountsAreAdmittedIfAllExceedTheFairShare() {
        Map<String, Double> demand = Map.of("one", 50.0, "two", 25.0);
        assertEquals(probability("one", 0.2, demand), 7.5 / 50, EXACT);
        assertEquals(probability("two", 0.2, demand), 7.5 / 25, EXACT);
    }

    @Test
    public void aSingleOrUnknownRequesterHasTheOverallProbability() {
        assertEquals(probability("one", 0.2, Map.of("one", 50.0)), 0.2, EXACT);
        assertEquals(probability("new", 0.2, Map.of("one", 50.0)), 0.2, EXACT);
        assertEquals(probability("new", 0.2, Map.of()), 0.2, EXACT);
    }
}
