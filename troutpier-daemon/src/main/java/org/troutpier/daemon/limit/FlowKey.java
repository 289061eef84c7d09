package org.troutpier.daemon.limit;

import org.troutpier.common.id.PartnerId;

/**
 * Who asks for a part of what is limited. Immutable and thread safe.
 *
 * @param rank the rank of the request, 0 is the most urgent; at most {@link #LEAST_URGENT_RANK}
 * @param organisation in whose name it is made, or {@link #NO_ORGANISATION}
 */
public record FlowKey(int rank, PartnerId organisation) {

    /** The least urgent rank that is told apart. */
    public static final int LEAST_URGENT_RANK = 9;

    /** Whose requests are that are made in no organisation's name. */
    public static final PartnerId NO_ORGANISATION = new PartnerId("none");

    /** Keeps the rank within those that are told apart. */
    public FlowKey {
        rank = Math.max(0, Math.min(LEAST_URGENT_RANK, rank));
    }
}
