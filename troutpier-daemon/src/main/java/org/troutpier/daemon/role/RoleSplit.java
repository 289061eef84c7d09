package org.troutpier.daemon.role;

import org.troutpier.daemon.cluster.Demand;

/**
 * Decides how many of a service's engines should read prompts. Pure decision, stateless and thread
 * safe. Prefill engines are used by tokens read in a time, decode engines by memory; the best split
 * is the one whose busier side is the least busy.
 */
final class RoleSplit {

    /**
     * Which part of the engines reads prompts while nothing was measured yet. In the trials on the
     * first sites two of six were best.
     */
    private static final double FIRST_PART = 1 / 3.0;

    /** How many completed runs make a measurement. */
    private static final double LEAST_RUNS = 5;

    /** How much less busy the busier side must become for a change, which takes seconds. */
    private static final double LEAST_GAIN = 0.85;

    /** Below which use no change is worth its time. */
    private static final double IDLE = 0.5;

    /** How much of its pace a prefill engine keeps up with waiting requests that vary in length. */
    private static final double USABLE_PACE = 0.8;

    /** Which part of its memory a decode engine uses while runs that grow are not preempted. */
    private static final double USABLE_MEMORY = 0.8;

    /** Not to be instantiated. */
    private RoleSplit() {}

    /**
     * Decides.
     *
     * @param engines how many engines there are
     * @param prefill how many of them read prompts now
     * @param memoryTokens how much memory an engine has
     * @param demand what callers asked for lately
     * @return how many should read prompts
     */
    static int prefillEngines(int engines, int prefill, long memoryTokens, Demand demand) {
        if (engines < 2) {
            return 0;
        }
        if (demand.runs() < LEAST_RUNS || demand.prefillTokensPerMilli() <= 0) {
            return (int) Math.max(1, Math.round(engines * FIRST_PART));
        }
        int best = 1;
        for (int each = 2; each < engines; each++) {
            if (use(engines, each, memoryTokens, demand)
                    < use(engines, best, memoryTokens, demand)) {
                best = each;
            }
        }
        if (prefill < 1 || prefill >= engines) {
            return best;
        }
        double now = use(engines, prefill, memoryTokens, demand);
        double then = use(engines, best, memoryTokens, demand);
        return now > IDLE && then < now * LEAST_GAIN ? best : prefill;
    }

    /**
     * Returns how busy the busier side is.
     *
     * @param engines how many engines there are
     * @param prefill how many of them read prompts
     * @param memoryTokens how much memory an engine has
     * @param demand what callers asked for lately
     * @return the use, 1 for a side that is just full
     */
    static double use(int engines, int prefill, long memoryTokens, Demand demand) {
        double pace = demand.prefillTokensPerMilli() * USABLE_PACE;
        double reading = demand.promptTokensPerMilli() / (prefill * pace);
        double making =
                demand.memoryTokens() / ((engines - prefill) * memoryTokens * USABLE_MEMORY);
        return Math.max(reading, making);
    }
}
