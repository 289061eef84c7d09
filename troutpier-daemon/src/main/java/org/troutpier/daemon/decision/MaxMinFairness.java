package org.troutpier.daemon.decision;

import java.util.Map;

/**
 * Max-min fair admission probabilities of several requesters that compete for a limited rate.
 * Requesters whose demand is below the fair share are admitted in full; the others get equal
 * shares. Immutable. Invariants: the expected amount admitted is the same as with one probability
 * for all; a requester is never admitted more than another that requests more.
 *
 * <p>With one probability for all, a requester that floods the router would get a share in
 * proportion to its demand.
 *
 * @param demand the recent demand of each requester
 * @param probability the probability with which all of the demand together is admitted, 0 to 1
 * @param <K> the type that identifies a requester
 */
public record MaxMinFairness<K>(Map<K, Double> demand, double probability) {

    /** Copies the map. */
    public MaxMinFairness {
        demand = Map.copyOf(demand);
    }

    /**
     * Returns the admission probability of a requester, 0 to 1. A requester without recorded demand
     * gets the overall probability.
     */
    public double probabilityFor(K requester) {
        double own = demand.getOrDefault(requester, 0.0);
        return own <= 0 ? probability : Math.min(1, fairShare() / own);
    }

    /**
     * Returns the largest amount that is admitted of any requester, such that the amounts add up to
     * the total that is admitted.
     */
    private double fairShare() {
        double remaining =
                probability * demand.values().stream().mapToDouble(Double::doubleValue).sum();
        int requesters = demand.size();
        for (double each : demand.values().stream().sorted().toList()) {
            if (each * requesters >= remaining) {
                break;
            }
            remaining -= each;
            requesters--;
        }
        return requesters == 0 ? Double.MAX_VALUE : remaining / requesters;
    }
}
