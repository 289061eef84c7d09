package org.troutpier.daemon.decision;

import java.util.Map;

/**
 * With what chance each of several askers is admitted, where all together are admitted with a given
 * one. Immutable; a pure decision. Invariant: what is admitted in the mean is the same as with one
 * chance for all; nobody is admitted more than another that asks more.
 *
 * <p>It answers an asker that floods: with one chance for all it would take what is admitted in
 * proportion to what it asks.
 *
 * @param demand what each asker asked lately
 * @param probability the chance with which all together are admitted, 0 to 1
 * @param <K> what names an asker
 */
public record MaxMinFairness<K>(Map<K, Double> demand, double probability) {

    /** Copies the map. */
    public MaxMinFairness {
        demand = Map.copyOf(demand);
    }

    /**
     * Returns an asker's chance.
     *
     * @param asker the asker
     * @return the chance, 0 to 1
     */
    public double probabilityFor(K asker) {
        double own = demand.getOrDefault(asker, 0.0);
        return own <= 0 ? probability : Math.min(1, level() / own);
    }

    /**
     * Returns what each asker is admitted at most, so that the sum is what all are admitted.
     *
     * @return the level
     */
    private double level() {
        double left = probability * demand.values().stream().mapToDouble(Double::doubleValue).sum();
        int askers = demand.size();
        for (double each : demand.values().stream().sorted().toList()) {
            if (each * askers >= left) {
                break;
            }
            left -= each;
            askers--;
        }
        return askers == 0 ? Double.MAX_VALUE : left / askers;
    }
}
