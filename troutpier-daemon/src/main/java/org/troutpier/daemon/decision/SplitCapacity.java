package org.troutpier.daemon.decision;

import org.troutpier.daemon.cluster.Demand;

/**
 * Works out how many requests a service's engines serve for each split into those that read prompts
 * and those that decode. Pure, stateless and thread safe. Prefill engines are used by tokens read
 * in a time, decode engines by memory taken for a time; the side that serves less decides.
 */
final class SplitCapacity {

    /** How much of its pace a prefill engine keeps up with waiting requests that vary in length. */
    private static final double USABLE_PACE = 0.8;

    /** Which part of its memory a decode engine uses while runs that grow are not preempted. */
    private static final double USABLE_MEMORY = 0.8;

    /** Which part of the pace a decode engine reads a prompt at itself, as the users publish it. */
    private static final double READ_BY_DECODE = 0.5;

    /** Not to be instantiated. */
    private SplitCapacity() {}

    /**
     * Returns how many requests are served.
     *
     * @param prefill how many engines read prompts
     * @param decode how many engines decode
     * @param memoryTokens how much memory an engine has
     * @param demand what callers ask for; measured
     * @return requests a millisecond, at most as many as come
     */
    static double served(int prefill, int decode, long memoryTokens, Demand demand) {
        double made = made(decode, memoryTokens, demand);
        double read =
                prefill > 0 ? read(prefill, demand) : readByDecode(decode, memoryTokens, demand);
        return Math.min(demand.requestsPerMilli(), Math.min(read, made));
    }

    /**
     * Returns how many prompts prefill engines read.
     *
     * @param prefill how many engines read prompts
     * @param demand what callers ask for; measured
     * @return requests a millisecond
     */
    static double read(int prefill, Demand demand) {
        double pace = demand.reading().tokensPerMilli() * USABLE_PACE;
        return prefill * pace / demand.meanPromptTokens();
    }

    /**
     * Returns how many runs decode engines have room for.
     *
     * @param decode how many engines decode
     * @param memoryTokens how much memory an engine has
     * @param demand what callers ask for; measured
     * @return requests a millisecond
     */
    static double made(int decode, long memoryTokens, Demand demand) {
        return made(decode, memoryTokens, demand.meanMemoryTime());
    }

    /**
     * Returns how many runs decode engines have room for.
     *
     * @param decode how many engines decode
     * @param memoryTokens how much memory an engine has
     * @param memoryTime what a run takes, tokens times milliseconds
     * @return requests a millisecond
     */
    static double made(int decode, long memoryTokens, double memoryTime) {
        return decode * memoryTokens * USABLE_MEMORY / memoryTime;
    }

    /**
     * Returns how many requests decode engines serve that also read the prompts: while an engine
     * reads, its runs stand still and keep their memory for longer.
     *
     * @param decode how many engines decode
     * @param memoryTokens how much memory an engine has
     * @param demand what callers ask for; measured
     * @return requests a millisecond
     */
    private static double readByDecode(int decode, long memoryTokens, Demand demand) {
        double each = made(1, memoryTokens, demand);
        double readMillis =
                demand.meanPromptTokens() / (demand.reading().tokensPerMilli() * READ_BY_DECODE);
        return decode * each / (1 + each * readMillis);
    }
}
