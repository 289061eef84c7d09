package org.troutpier.standins.engine;

/**
 * What a prefill engine costs. Immutable and thread safe.
 *
 * @param tokensPerSecond how fast uncached tokens are prefilled
 * @param fixedMicros what every prefill costs besides, microseconds
 * @param cacheBlocks how many prefix blocks the cache holds
 * @param kvLifeMillis how long a result survives unless it is fetched, milliseconds
 * @param linkBytesPerSecond the rate of the engine's outgoing link
 * @param kvBytesPerToken how large the result is, bytes a token
 * @param queueLimit how many prefills may wait or run
 * @param eventLagMillis how late cache events and load are published, milliseconds
 */
public record PrefillModel(
        int tokensPerSecond,
        int fixedMicros,
        int cacheBlocks,
        int kvLifeMillis,
        long linkBytesPerSecond,
        int kvBytesPerToken,
        int queueLimit,
        int eventLagMillis) {

    /** A model of a mid-sized engine. */
    public static final PrefillModel DEFAULT =
            new PrefillModel(20_000, 3000, 2000, 800, 10_000_000_000L, 200_000, 64, 250);
}
