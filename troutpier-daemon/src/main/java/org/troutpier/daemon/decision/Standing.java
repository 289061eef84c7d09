package org.troutpier.daemon.decision;

/** Who goes first among requests that wait for memory at a decode engine, in this order. */
public enum Standing {
    /** Its caller has a part of its answer already; what is not continued is lost whole. */
    CONTINUED,
    /** It can still be in time. */
    IN_TIME,
    /** It is late whatever is done, so it takes what those that can be in time leave. */
    LATE
}
