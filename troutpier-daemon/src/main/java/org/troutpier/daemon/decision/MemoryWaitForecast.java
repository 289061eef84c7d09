package org.troutpier.daemon.decision;

/**
 * Predicts how long a request waits for memory at the decode engines of a service, from the active
 * runs, their mean duration and the requests queued ahead. Memory that runs have taken of the
 * growth margin does not have to be freed first. Immutable and thread safe.
 *
 * @param engines the number of decode engines
 * @param usedTokens the memory used by active runs, tokens
 * @param usableTokens the memory of each engine that may be allocated, tokens
 * @param waitingTokens the prompts queued ahead of the request at all routers, tokens
 * @param runMillis the mean duration of a run, milliseconds; 0 if unknown
 */
public record MemoryWaitForecast(
        int engines, long usedTokens, double usableTokens, long waitingTokens, double runMillis) {

    /**
     * Returns the predicted wait in milliseconds; 0 if nothing is known.
     *
     * @param promptTokens the memory that the request needs, tokens
     */
    public double waitMillis(long promptTokens) {
        if (runMillis <= 0 || usedTokens <= 0) {
            return 0;
        }
        double free = Math.max(0, engines * usableTokens - usedTokens);
        double needed = waitingTokens + promptTokens - free;
        double freedPerMilli = usedTokens / runMillis;
        return Math.max(0, needed / freedPerMilli);
    }
}
