package org.troutpier.daemon.cluster;

import java.util.Collection;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.rows.FakeRowStore;

/** A router that shares only the store with others. Confined to the test's thread. */
final class VersionedRouter {

    static final String SERVICE = "notes";

    final ManualClock.PausableControlExecutor mControl;
    final Node mNode;
    final UpstreamDirectory mDirectory;
    final VersionTable mVersions;

    VersionedRouter(String name, ManualClock time, FakeRowStore store) {
        mControl = time.control();
        mNode = TestNode.of(name, mControl, time::nanos);
        mDirectory = new UpstreamDirectory(mControl, time::millis);
        mVersions =
                new VersionTable(
                        mNode,
                        store,
                        new IsolatedRouter(mNode).mExchange,
                        mDirectory,
                        new CurrentConfiguration(),
                        () -> 1);
    }

    /** Lists one engine of each version, as the store would now. */
    void list(Collection<String> versions) {
        mDirectory.onConfirmed(true, mNode.millis(), 0);
        mDirectory.replaceAll(versions.stream().map(VersionedRouter::engine).toList());
    }

    private static UpstreamEntry engine(String version) {
        return new UpstreamEntry(
                UpstreamIncarnation.of("engine-" + version),
                SERVICE,
                new Address("127.0.0.1", 1),
                new HallId("hall-a"),
                8,
                UpstreamEntry.Role.DECODE,
                false,
                new SoftwareVersion(version));
    }
}
