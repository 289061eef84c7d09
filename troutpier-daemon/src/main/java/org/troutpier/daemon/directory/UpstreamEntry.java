package org.troutpier.daemon.directory;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;

/**
 * One incarnation of an upstream as the platform lists it. Immutable and thread safe.
 *
 * @param id names this incarnation
 * @param service the service that it belongs to
 * @param address where it listens
 * @param hall where it stands
 * @param slots how many requests it works on at once
 * @param role what it does
 * @param draining whether it is about to leave
 */
public record UpstreamEntry(
        UpstreamId id,
        String service,
        Address address,
        HallId hall,
        int slots,
        Role role,
        boolean draining) {

    /** What an upstream does. */
    public enum Role {
        /** Reads prompts. */
        PREFILL,
        /** Makes tokens. */
        DECODE,
        /** Answers plain calls. */
        PLAIN
    }
}
