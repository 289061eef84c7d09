package org.troutpier.daemon.decision;

/**
 * Priority of requests that wait for memory at a decode engine. Tiers are served in declaration
 * order.
 */
public enum QueueTier {
    /**
     * The request can still meet its latency target, or continues a stream which only some of the
     * engines can continue.
     */
    IN_TIME,
    /** The request continues a stream of which the caller has already received a part. */
    CONTINUED,
    /** The request was refused before or has waited too long, so it misses its target anyway. */
    LATE
}
