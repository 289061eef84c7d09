package org.troutpier.daemon.route;

import org.troutpier.common.settings.Check;

/**
 * What the model engines of a service can do. Immutable and thread safe.
 *
 * @param slots how many requests run at once
 * @param memoryTokens how many tokens the KV cache holds
 * @param eventTokens how many tokens an event of a stream carries at most
 * @param reservationMillis how long a reserved place may be kept; 0 where places cannot be reserved
 * @param kvHandleMillis how long a prefill's result is kept
 * @param switchMillis how long a change of role takes once the engine is empty
 */
public record EngineTraits(
        int slots,
        long memoryTokens,
        int eventTokens,
        int reservationMillis,
        int kvHandleMillis,
        int switchMillis) {

    /** Checks the fields. */
    public EngineTraits {
        Check.range("slots", slots, 1, Integer.MAX_VALUE);
        Check.range("eventTokens", eventTokens, 1, Integer.MAX_VALUE);
        Check.range("memoryTokens", memoryTokens, 1, Long.MAX_VALUE);
    }
}
