package org.troutpier.daemon.cluster;

/**
 * What callers asked of one model service lately, as decaying sums that add up over routers.
 * Immutable and thread safe.
 *
 * @param promptTokens prompt tokens of the requests that came
 * @param requests requests that came
 * @param memoryTime memory that completed runs took, each for as long as it ran, in tokens times
 *     milliseconds
 * @param runs completed runs
 * @param readTokens prompt tokens that prefill engines read without anything waiting before them
 * @param readMillis time that these took
 */
public record Demand(
        double promptTokens,
        double requests,
        double memoryTime,
        double runs,
        double readTokens,
        double readMillis) {

    /** No demand. */
    public static final Demand NONE = new Demand(0, 0, 0, 0, 0, 0);

    /**
     * After which time a sum has decayed to 1/e, milliseconds: two bursts, so that one burst alone
     * does not outweigh what came before.
     */
    public static final double DECAY_MILLIS = 10_000;

    /**
     * Returns the demand of two routers together.
     *
     * @param other the other's
     * @return the sum
     */
    public Demand plus(Demand other) {
        return new Demand(
                promptTokens + other.promptTokens,
                requests + other.requests,
                memoryTime + other.memoryTime,
                runs + other.runs,
                readTokens + other.readTokens,
                readMillis + other.readMillis);
    }

    /**
     * Returns the demand after some time without anything new.
     *
     * @param millis the time
     * @return the decayed sums
     */
    public Demand after(double millis) {
        double left = Math.exp(-millis / DECAY_MILLIS);
        return new Demand(
                promptTokens * left,
                requests * left,
                memoryTime * left,
                runs * left,
                readTokens * left,
                readMillis * left);
    }

    /**
     * Returns the pace of a prefill engine.
     *
     * @return prompt tokens a millisecond; 0 for unknown
     */
    public double prefillTokensPerMilli() {
        return readMillis > 0 ? readTokens / readMillis : 0;
    }

    /**
     * Returns the demand on prefill engines.
     *
     * @return prompt tokens a millisecond
     */
    public double promptTokensPerMilli() {
        return promptTokens / DECAY_MILLIS;
    }

    /**
     * Returns the demand on decode engines: the memory that all requests would take at once if none
     * were refused.
     *
     * @return tokens
     */
    public double memoryTokens() {
        double memoryTimeOfRun = runs > 0 ? memoryTime / runs : 0;
        return requests / DECAY_MILLIS * memoryTimeOfRun;
    }
}
