package org.troutpier.daemon.decision;

/**
 * Predicts how long a request waits for memory at the decode engines of a service, from the room
 * there, what is served before the request, and the memory that ends of runs free. Immutable and
 * thread safe.
 *
 * <p>Intended for bursts of a few seconds beyond the engines' memory. Requests that are late wait
 * behind those in time, so they must not count in the forecast of the latter: they would have them
 * refused long after the burst has ended.
 *
 * @param roomTokens the prompts that the engines have room for, tokens
 * @param servedBeforeTokens the waiting prompts that are served before the request, tokens
 * @param freedPerMilli the memory that ends of runs free, tokens per millisecond; 0 for unknown
 * @param arrivingPerMilli the prompts that arrive in time, tokens per millisecond
 */
public record RoomForecast(
        double roomTokens,
        double servedBeforeTokens,
        double freedPerMilli,
        double arrivingPerMilli) {

    /**
     * Returns the predicted wait of a request that later arrivals do not delay, in milliseconds; 0
     * if nothing is known. For a late request it is the shortest wait that is possible: a second
     * refusal is the worst outcome for a caller, so it is justified only by a wait that cannot
     * become shorter.
     *
     * @param promptTokens the memory that the request needs, tokens
     */
    public double waitMillis(double promptTokens) {
        double needed = servedBeforeTokens + promptTokens - roomTokens;
        return freedPerMilli > 0 ? Math.max(0, needed / freedPerMilli) : 0;
    }

    /** Returns the memory that requests in time leave to late ones, tokens per millisecond. */
    public double leftPerMilli() {
        return Math.max(0, freedPerMilli - arrivingPerMilli);
    }

    /** Returns what has to be freed before the request's turn comes, tokens. */
    public double lackingTokens() {
        return Math.max(0, servedBeforeTokens - roomTokens);
    }
}
