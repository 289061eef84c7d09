package org.troutpier.daemon.directory;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;

/**
 * One incarnation of an upstream as the platform lists it. Immutable and thread safe.
 *
 * @param incarnation names it
 * @param service the service that it belongs to
 * @param address where it listens
 * @param hall where it stands
 * @param slots how many requests it works on at once
 * @param role what it does
 * @param draining whether it is about to leave
 */
public record UpstreamEntry(
        UpstreamIncarnation incarnation,
        String service,
        Address address,
        HallId hall,
        int slots,
        Role role,
        boolean draining) {

    /**
     * Returns the upstream's id, whichever of its starts this is.
     *
     * @return the id
     */
    public UpstreamId id() {
        return incarnation.id();
    }

    /**
     * Returns this entry of an upstream that leaves.
     *
     * @return an entry that gets no work
     */
    UpstreamEntry leaving() {
        return new UpstreamEntry(incarnation, service, address, hall, slots, role, true);
    }

    /**
     * Returns what is known after this upstream was told of again. What is told of an earlier start
     * is dropped. Within one start, a told start is kept, and an upstream that is leaving does not
     * come back: only a later start is ready again.
     *
     * @param told what is told now, of the same id
     * @return what is known
     */
    UpstreamEntry after(UpstreamEntry told) {
        if (told.incarnation.follows(incarnation)) {
            return told;
        }
        if (!told.incarnation.mayBe(incarnation)) {
            return this;
        }
        boolean known = told.incarnation.startMillis() != UpstreamIncarnation.UNKNOWN;
        return new UpstreamEntry(
                known ? told.incarnation : incarnation,
                told.service,
                told.address,
                told.hall,
                told.slots,
                told.role,
                draining || told.draining);
    }

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
