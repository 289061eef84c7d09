package org.troutpier.daemon.decision;

import org.troutpier.daemon.cluster.Demand;

/**
 * Finds engines that read prompts and could be spared for good: a split in which decode engines
 * have room for more requests, and those that still read keep up with all of them. Pure, stateless
 * and thread safe.
 *
 * <p>It answers bursts of a load whose mix lasts. A burst asks more of both sides at once, so what
 * counts is not what is lost now but which side would be full first; a reader that would never be
 * full helps in no burst, and taking it away costs nothing, however many are taken at once. Engines
 * that decode are never spared by this: their runs would have to end first.
 */
final class PrefillSurplus {

    /** By which part decode engines must become more, so that a change is worth its orders. */
    private static final double LEAST_GAIN = 0.05;

    /** Not to be instantiated. */
    private PrefillSurplus() {}

    /**
     * Returns how many engines that read prompts had better decode.
     *
     * @param staffing how the engines stand
     * @param demand what callers ask for; measured
     * @param askedMillis for how long there have been requests, milliseconds
     * @return the count; 0 where none is to spare
     */
    static int spare(RoleChangePolicy.EnginePool staffing, Demand demand, double askedMillis) {
        double memoryTime = memoryTime(staffing, demand, askedMillis);
        int readers = staffing.prefill();
        int decode = staffing.decode();
        while (readers > 1
                && SplitCapacity.read(readers - 1, demand)
                        >= SplitCapacity.made(decode + 1, staffing.memoryTokens(), memoryTime)) {
            readers--;
            decode++;
        }
        int spare = staffing.prefill() - readers;
        return spare >= staffing.decode() * LEAST_GAIN ? spare : 0;
    }

    /**
     * Returns what a run takes of a decode engine. Short runs end first, so soon after a start
     * those that have ended take a quarter of what runs take; what all take that are under way, for
     * each that came in a time, does not err that way.
     *
     * @param staffing how the engines stand
     * @param demand what callers ask for; measured
     * @param askedMillis for how long there have been requests, milliseconds
     * @return memory times time, tokens times milliseconds
     */
    private static double memoryTime(
            RoleChangePolicy.EnginePool staffing, Demand demand, double askedMillis) {
        double seen = 1 - Math.exp(-askedMillis / Demand.DECAY_MILLIS);
        double perMilli = demand.requestsPerMilli() / seen;
        return Math.max(demand.meanMemoryTime(), staffing.usedTokens() / perMilli);
    }
}
