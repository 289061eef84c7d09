package org.troutpier.daemon.decision;

/** Who goes first among requests that wait for memory at a decode engine, in this order. */
public enum QueueTier {
    /** It can still be in time. */
    IN_TIME,
    /** Its caller has a part of its answer already, and waits for the rest. */
    CONTINUED,
    /** It was refused before or has waited too long, so it is late whatever is done. */
    LATE
}
