package org.troutpier.daemon.role;

import java.util.List;
import java.util.Optional;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Keeps a decode engine in each software version of a service, as the streams of a version go on at
 * no other. A version with a single engine is not given one: its only engine is about to be joined
 * by others, or to leave. Immutable and thread safe.
 *
 * @param engines the usable engines of the service
 */
record VersionCoverage(List<UpstreamEntry> engines) {

    /** Copies the engines. */
    VersionCoverage {
        engines = List.copyOf(engines);
    }

    /** Returns a version with several engines, none of which decodes. */
    Optional<SoftwareVersion> uncoveredVersion() {
        return engines.stream()
                .map(UpstreamEntry::version)
                .distinct()
                .filter(version -> count(version, UpstreamEntry.Role.PREFILL) > 1)
                .filter(version -> count(version, UpstreamEntry.Role.DECODE) == 0)
                .findFirst();
    }

    /** Returns whether a version still has a decode engine if this one becomes a prefill engine. */
    boolean isCoveredWithout(UpstreamEntry engine) {
        return count(engine.version(), UpstreamEntry.Role.DECODE) > 1;
    }

    private long count(SoftwareVersion version, UpstreamEntry.Role role) {
        return engines.stream()
                .filter(engine -> engine.version().equals(version) && engine.role() == role)
                .count();
    }
}
