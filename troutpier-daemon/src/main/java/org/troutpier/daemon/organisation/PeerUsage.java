package org.troutpier.daemon.organisation;

/** What the other routers reported of organisations' usage. Thread safe. */
public interface PeerUsage {

    /**
     * Returns what the others used, and those that have fallen silent since.
     *
     * @return the sum, as it was known last
     */
    UsageReport organisations();

    /**
     * Returns how many others were heard of lately.
     *
     * @return the count
     */
    int peerCount();
}
