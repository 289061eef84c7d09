package org.troutpier.daemon.claim;

/**
 * A claim that this router holds. Immutable and thread safe.
 *
 * @param key key of the row
 * @param tag tag of the row as written
 * @param row the row as written
 * @param safeUntilNanos time on the monotonic clock until which the lease keeps other routers from
 *     taking over; based on the clock before the write was sent
 */
public record Claim(String key, String tag, ClaimRow row, long safeUntilNanos) {}
