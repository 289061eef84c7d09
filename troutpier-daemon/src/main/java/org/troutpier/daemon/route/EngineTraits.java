package org.troutpier.daemon.route;

import org.troutpier.common.settings.Check;

/**
 * Properties of the model engines of a service. Immutable and thread safe.
 *
 * @param slots number of requests that run concurrently
 * @param memoryTokens capacity of the KV cache, tokens
 * @param eventTokens maximum number of tokens in one event of a stream
 * @param reservationMillis maximum duration of a reservation; 0 if the engines take none
 * @param kvHandleMillis how long the KV data of a prefill is kept
 * @param switchMillis duration of a role change once the engine is idle
 */
public record EngineTraits(
        int slots,
        long memoryTokens,
        int eventTokens,
        int reservationMillis,
        int kvHandleMillis,
        int switchMillis) {

    /** Validates the components. */
    public EngineTraits {
        Check.range("slots", slots, 1, Integer.MAX_VALUE);
        Check.range("eventTokens", eventTokens, 1, Integer.MAX_VALUE);
        Check.range("memoryTokens", memoryTokens, 1, Long.MAX_VALUE);
    }
}
