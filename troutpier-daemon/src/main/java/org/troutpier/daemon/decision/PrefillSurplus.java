package org.troutpier.daemon.decision;

import org.troutpier.daemon.cluster.Demand;

/**
 * Finds prefill engines that can permanently become decode engines: the split after the change has
 * more decode capacity, and its remaining prefill engines still keep up with it. Stateless and
 * thread safe.
 *
 * <p>In bursts of a load with a constant mix, demand rises on both sides at once. What matters is
 * therefore which side saturates first rather than the current loss. A prefill engine that would
 * never saturate helps in no burst, so changing its role costs nothing, and any number of such
 * engines may change at once. A surplus of decode engines is not treated in this way, since their
 * runs would have to end first.
 */
final class PrefillSurplus {

    /** Minimum relative gain of decode engines that justifies the role changes. */
    private static final double MIN_GAIN = 0.05;

    private PrefillSurplus() {}

    /**
     * Returns how many prefill engines should become decode engines; 0 if none is surplus or the
     * gain is too small.
     *
     * @param demand the demand, with enough completed runs and prefill samples to be measured
     * @param demandMillis how long there has been demand, milliseconds
     */
    static int count(RoleChangePolicy.EnginePool pool, Demand demand, double demandMillis) {
        double memoryTime = memoryTime(pool, demand, demandMillis);
        int prefill = pool.prefill();
        int decode = pool.decode();
        while (prefill > 1
                && SplitCapacity.prefillThroughput(prefill - 1, demand)
                        >= SplitCapacity.decodeThroughput(
                                decode + 1, pool.memoryTokens(), memoryTime)) {
            prefill--;
            decode++;
        }
        int surplus = pool.prefill() - prefill;
        return surplus >= pool.decode() * MIN_GAIN ? surplus : 0;
    }

    /**
     * Returns the memory that a run occupies times its duration, in tokens times milliseconds.
     * Short runs complete first, so soon after a start the completed runs show only a quarter of
     * the actual value. The memory of all active runs per arrival rate is not biased in this way.
     */
    private static double memoryTime(
            RoleChangePolicy.EnginePool pool, Demand demand, double demandMillis) {
        double observed = 1 - Math.exp(-demandMillis / Demand.DECAY_MILLIS);
        double perMilli = demand.requestsPerMilli() / observed;
        return Math.max(demand.meanMemoryTime(), pool.usedTokens() / perMilli);
    }
}
