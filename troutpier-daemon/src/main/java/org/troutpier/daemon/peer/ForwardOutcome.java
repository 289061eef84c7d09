package org.troutpier.daemon.peer;

/** Outcome of a request to forward a connection to an upstream. */
public enum ForwardOutcome {
    /** The forwarding router is connected to the upstream. */
    OPENED,
    /** The upstream's machine refused the forwarding router's connection. */
    REFUSED,
    /** The forwarding router got no connection to the upstream either, or does not list it. */
    UNREACHABLE,
    /** The forwarding router is stopping, or forwards as many connections as it may. */
    BUSY,
    /** The forwarding router did not answer, or does not forward connections. */
    NO_ANSWER
}
