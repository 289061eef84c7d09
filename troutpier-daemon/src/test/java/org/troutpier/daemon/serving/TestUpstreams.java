package org.troutpier.daemon.serving;

import org.troutpier.common.id.HallId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamEntry;

/** Creates upstream entries for tests. */
final class TestUpstreams {

    static final HallId HALL = new HallId("hall-a");

    /** The slots of each upstream. */
    static final int SLOTS = 10;

    private TestUpstreams() {}

    static UpstreamEntry plain(String id, String hall) {
        return entry(id, hall, UpstreamEntry.Role.PLAIN);
    }

    static UpstreamEntry decode(String id) {
        return entry(id, HALL.value(), UpstreamEntry.Role.DECODE);
    }

    static UpstreamEntry decode(String id, String version) {
        return entry(id, HALL.value(), UpstreamEntry.Role.DECODE, version);
    }

    static UpstreamEntry prefill(String id) {
        return entry(id, HALL.value(), UpstreamEntry.Role.PREFILL);
    }

    /** Returns the same upstream with another start time. */
    static UpstreamEntry startedAt(UpstreamEntry upstream, long startMillis) {
        return new UpstreamEntry(
                new UpstreamIncarnation(upstream.id(), startMillis),
                upstream.service(),
                upstream.address(),
                upstream.hall(),
                upstream.slots(),
                upstream.role(),
                upstream.draining());
    }

    private static UpstreamEntry entry(String id, String hall, UpstreamEntry.Role role) {
        return entry(id, hall, role, "");
    }

    private static UpstreamEntry entry(
            String id, String hall, UpstreamEntry.Role role, String version) {
        return new UpstreamEntry(
                UpstreamIncarnation.of(id),
                "service",
                new Address("127.0.0.1", 1),
                new HallId(hall),
                SLOTS,
                role,
                false,
                new SoftwareVersion(version));
    }
}
