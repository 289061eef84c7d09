package org.troutpier.daemon.waiting;

/**
 * What precedes a request at other routers or is about to arrive. Immutable and thread safe.
 *
 * @param tokens what all these requests take
 * @param largest what the largest one that waits takes; 0 if none waits
 * @param moreUrgent whether a more urgent one waits
 */
public record Preceding(double tokens, double largest, boolean moreUrgent) {

    /** Nothing. */
    public static final Preceding NONE = new Preceding(0, 0, false);
}
