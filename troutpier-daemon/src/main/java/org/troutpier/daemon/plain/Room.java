package org.troutpier.daemon.plain;

import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * What is known of one upstream when a call is placed. Immutable and thread safe.
 *
 * @param upstream the upstream
 * @param limit the most calls that it is to have in flight
 * @param calls the calls that it is known to have in flight
 * @param cause what the limit is determined by
 */
record Room(UpstreamEntry upstream, int limit, int calls, ConcurrencyLimit.Cause cause) {

    /** Returns a copy with another limit. */
    Room withLimit(int newLimit) {
        return new Room(upstream, newLimit, calls, cause);
    }

    /** Returns how many further calls it may be sent. */
    int free() {
        return Math.max(0, limit - calls);
    }

    /** Returns whether fewer calls are there than half of its slots. */
    boolean isLightlyLoaded() {
        return free() > 0 && 2 * calls < upstream.slots();
    }
}
