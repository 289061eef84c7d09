package org.troutpier.daemon.limit;

import org.troutpier.common.id.PartnerId;

/**
 * Identifies a flow of requests that compete for a limit: all requests of one rank and one
 * organisation. Immutable and thread safe.
 *
 * @param rank the priority rank; 0 is the most urgent, {@link #LEAST_URGENT_RANK} the least
 * @param organisation the organisation, or {@link #NO_ORGANISATION}
 */
public record FlowKey(int rank, PartnerId organisation) {

    /** The least urgent rank; less urgent requests are treated as of this rank. */
    public static final int LEAST_URGENT_RANK = 9;

    /** The organisation of requests that belong to none. */
    public static final PartnerId NO_ORGANISATION = new PartnerId("none");

    /** Clamps the rank to the supported range. */
    public FlowKey {
        rank = Math.max(0, Math.min(LEAST_URGENT_RANK, rank));
    }
}
