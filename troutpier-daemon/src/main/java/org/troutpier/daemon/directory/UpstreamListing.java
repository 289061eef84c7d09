package org.troutpier.daemon.directory;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * The listed upstreams as of one moment, as other threads read them. Immutable and thread safe.
 *
 * @param usable the usable entries by service
 * @param incarnations the listed incarnation of each upstream
 * @param versions the software versions of the listed upstreams by service
 */
record UpstreamListing(
        Map<String, List<UpstreamEntry>> usable,
        Map<UpstreamId, UpstreamIncarnation> incarnations,
        Map<String, Set<SoftwareVersion>> versions) {

    /** A listing without upstreams. */
    static final UpstreamListing EMPTY = new UpstreamListing(Map.of(), Map.of(), Map.of());

    /**
     * Creates a listing.
     *
     * @param entries all listed entries
     * @param isUsable whether an upstream may receive work
     */
    static UpstreamListing of(
            Collection<UpstreamEntry> entries, Predicate<UpstreamEntry> isUsable) {
        return new UpstreamListing(
                entries.stream()
                        .filter(isUsable)
                        .collect(
                                Collectors.groupingBy(
                                        UpstreamEntry::service, Collectors.toUnmodifiableList())),
                entries.stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        UpstreamEntry::id, UpstreamEntry::incarnation)),
                entries.stream()
                        .collect(
                                Collectors.groupingBy(
                                        UpstreamEntry::service,
                                        Collectors.mapping(
                                                UpstreamEntry::version,
                                                Collectors.toUnmodifiableSet()))));
    }
}
