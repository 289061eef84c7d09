package org.troutpier.daemon.decision;

/**
 * Predicts how long it takes until there is room for a request at a service's decode engines, from
 * what runs there, how long runs take and what waits before it. What has grown into the room that
 * stays free for growth is not waited for. Pure. Immutable and thread safe.
 *
 * @param engines how many engines decode
 * @param usedTokens what runs there, in tokens
 * @param usableTokens how much of each engine's memory may be given out
 * @param waitingTokens the prompts that wait before this one, at all routers
 * @param runMillis how long a run takes; 0 for unknown
 */
public record MemoryWaitForecast(
        int engines, long usedTokens, double usableTokens, long waitingTokens, double runMillis) {

    /**
     * Predicts.
     *
     * @param promptTokens what the request needs
     * @return milliseconds; 0 where nothing is known
     */
    public double waitMillis(long promptTokens) {
        if (runMillis <= 0 || usedTokens <= 0) {
            return 0;
        }
        double room = Math.max(0, engines * usableTokens - usedTokens);
        double needed = waitingTokens + promptTokens - room;
        double freedInMilli = usedTokens / runMillis;
        return Math.max(0, needed / freedInMilli);
    }
}
