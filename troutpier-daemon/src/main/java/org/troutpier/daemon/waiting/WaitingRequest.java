package org.troutpier.daemon.waiting;

/**
 * A request that waits for capacity. Immutable and thread safe.
 *
 * @param service the service whose capacity it waits for
 * @param claim its claim
 */
public record WaitingRequest(String service, Claim claim) {}
