package org.troutpier.daemon.organisation;

/** The usage of organisations as reported by the other routers. Thread safe. */
public interface PeerUsage {

    /**
     * Returns the combined usage last reported by the other routers, including routers that have
     * stopped reporting since.
     */
    UsageReport organisations();

    /** Returns the number of other routers with a recent report. */
    int peerCount();
}
