package org.troutpier.daemon.plain;

import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * What is known of one upstream when a call is placed. Immutable and thread safe.
 *
 * @param upstream the upstream
 * @param limit the most calls that it is to have in flight
 * @param calls the calls that it is known to have in flight
 * @param turnover the calls that are predicted to have ended there since the others' calls were
 *     reported
 * @param inTime whether a further call is predicted to be answered within its target
 * @param cause what the limit is determined by
 */
record UpstreamRoom(
        UpstreamEntry upstream,
        int limit,
        int calls,
        int turnover,
        boolean inTime,
        ConcurrencyLimit.Cause cause) {

    /** Returns a copy with another limit. */
    UpstreamRoom withLimit(int newLimit) {
        return new UpstreamRoom(upstream, newLimit, calls, 0, inTime, cause);
    }

    /** Returns this room in the form of a log line. */
    @Override
    public String toString() {
        return upstream.id() + ":" + calls + "/" + limit + "(" + cause + ")";
    }

    /** Returns how many further calls it may be sent. */
    int free() {
        return limit == 0 ? 0 : Math.max(0, limit + turnover - calls);
    }

    /** Returns whether a slot is free. */
    boolean hasFreeSlot() {
        return free() > 0 && calls < upstream.slots();
    }

    /** Returns whether fewer calls are there than half of its slots. */
    boolean isLightlyLoaded() {
        return free() > 0 && 2 * calls < upstream.slots();
    }
}
