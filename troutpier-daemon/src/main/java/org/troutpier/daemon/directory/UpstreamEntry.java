package org.troutpier.daemon.directory;

import java.util.Objects;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;

/**
 * An incarnation of an upstream as the platform lists it. Immutable and thread safe.
 *
 * @param service the service that it belongs to
 * @param address the address that it listens at
 * @param hall its data hall
 * @param slots number of requests that it processes concurrently
 * @param draining whether it is about to leave
 * @param version the version of its software
 */
public record UpstreamEntry(
        UpstreamIncarnation incarnation,
        String service,
        Address address,
        HallId hall,
        int slots,
        Role role,
        boolean draining,
        SoftwareVersion version) {

    /** Creates an entry of an upstream that states no software version. */
    public UpstreamEntry(
            UpstreamIncarnation incarnation,
            String service,
            Address address,
            HallId hall,
            int slots,
            Role role,
            boolean draining) {
        this(incarnation, service, address, hall, slots, role, draining, SoftwareVersion.UNSTATED);
    }

    /** Returns the upstream's id, which all of its incarnations share. */
    public UpstreamId id() {
        return incarnation.id();
    }

    /** Returns this entry marked as draining. */
    UpstreamEntry asDraining() {
        return new UpstreamEntry(incarnation, service, address, hall, slots, role, true, version);
    }

    /**
     * Merges this entry with a later report about the same upstream. A report about an earlier
     * incarnation is dropped. Within one incarnation, a known start time and a stated version are
     * kept, and draining is final: only a later incarnation is ready again.
     *
     * @param reported the reported entry, with the same id
     * @return the merged entry
     */
    UpstreamEntry mergedWith(UpstreamEntry reported) {
        if (reported.incarnation.startedAfter(incarnation)) {
            return reported;
        }
        if (!reported.incarnation.mayEqual(incarnation)) {
            return this;
        }
        boolean known = reported.incarnation.startMillis() != UpstreamIncarnation.UNKNOWN;
        return new UpstreamEntry(
                known ? reported.incarnation : incarnation,
                reported.service,
                reported.address,
                reported.hall,
                reported.slots,
                reported.role,
                draining || reported.draining,
                version.isStated() ? version : reported.version);
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamEntry that
                && Objects.equals(incarnation, that.incarnation)
                && Objects.equals(service, that.service)
                && Objects.equals(address, that.address)
                && Objects.equals(hall, that.hall)
                && slots == that.slots
                && Objects.equals(role, that.role)
                && draining == that.draining
                && Objects.equals(version, that.version);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Objects.hashCode(incarnation);
    }

    /** Role of an upstream. */
    public enum Role {
        /** Prefill engine, which processes prompts. */
        PREFILL,
        /** Decode engine, which generates tokens. */
        DECODE,
        /** Replica of a plain service. */
        PLAIN
    }
}
