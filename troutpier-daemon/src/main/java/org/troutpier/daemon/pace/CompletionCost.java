package org.troutpier.daemon.pace;

/**
 * The cost by which upstreams are ordered, so that the one that completes the work first comes
 * first. Costs are relative: for upstreams of equal pace they are the amounts in progress there.
 * Stateless and thread safe.
 *
 * <p>Intended for upstreams of which some are slow for seconds. A slow upstream looks idle to
 * amounts alone, until its queue is as long as those of the others.
 */
public final class CompletionCost {

    /**
     * Cost of a slow decode engine, tokens: more than the memory of any engine. Runs last for
     * seconds and memory is what is scarce, so a slow engine is used once the others have no room.
     */
    private static final double SLOW_ENGINE_TOKENS = 1e9;

    /**
     * Pace from which a decode engine counts as slow. A run lasts longer than a change of pace that
     * single measurements show.
     */
    private static final double SLOW_PACE = 1.6;

    private CompletionCost() {}

    /**
     * Returns the cost of a prompt at a prefill engine, in tokens of an engine of pace 1.
     *
     * @param queuedTokens the tokens queued there
     * @param promptTokens the length of the prompt
     */
    public static double ofPrefill(long queuedTokens, long promptTokens, double pace) {
        return queuedTokens + (pace - 1) * (queuedTokens + promptTokens);
    }

    /**
     * Returns the cost of a run at a decode engine.
     *
     * @param usedTokens the memory in use there, tokens
     */
    public static double ofRun(long usedTokens, double pace) {
        return pace >= SLOW_PACE ? SLOW_ENGINE_TOKENS * pace + usedTokens : usedTokens;
    }

    /**
     * Returns the cost of a call of a plain service, as a fraction of the slots.
     *
     * @param calls the calls in progress there
     * @param slots how many calls the upstream carries out at a time
     */
    public static double ofCall(int calls, int slots, double pace) {
        return (calls + (pace - 1) * (calls + 1)) / Math.max(1, slots);
    }
}
