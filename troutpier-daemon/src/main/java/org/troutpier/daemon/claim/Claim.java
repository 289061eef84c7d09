package org.troutpier.daemon.claim;

/**
 * A claim that this router holds, as it wrote it. Immutable and thread safe.
 *
 * @param key the row's key
 * @param tag the tag of the row as written
 * @param row the row as written
 * @param safeUntilNanos until when no other router takes over by the lease, by the monotonic clock
 *     read before the write was sent
 */
public record Claim(String key, String tag, ClaimRow row, long safeUntilNanos) {}
