package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.resume.ServedVersions;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.rows.RowDecoder;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.TableFollower;

/**
 * The software versions that have served each service of engines lately, in a table of the store
 * with one row for each service. So a router that has just started, even after the loss of all,
 * knows whether an older stream can have begun at another version. The table readers of the halls
 * write it when the versions of the listed engines change, which is rare. Confined to the control
 * thread. Invariants: a version is removed only after none of its engines was listed for the
 * retention time; a version is returned as the only one only while the listed engines are confirmed
 * to be those of the store.
 */
public final class VersionTable implements TableFollower.Listener, ServedVersions {

    static final String TABLE = "troutpier_versions";

    /** Interval between comparisons of the table with the listed engines, milliseconds. */
    static final long TICK_MILLIS = 500;

    /** Shortest time for which a version is kept after its last engine, milliseconds. */
    static final long MIN_RETENTION_MILLIS = 60_000;

    /**
     * Number of tries, each as long as a route allows, over which a caller may resume a stream. A
     * version is kept for that time after its last engine.
     */
    private static final int RESUMED_TRIES = 4;

    /**
     * Age of the list of engines from which on it may lack engines that others use, milliseconds. A
     * hall reads the list every 700 ms.
     */
    static final long MAX_DIRECTORY_AGE_MILLIS = 1500;

    /** Changes are pushed as they occur; a call only waits for them. */
    private static final TableFollower.PollTiming POLL_TIMING =
            new TableFollower.PollTiming(6000, 200, 8000, 2000);

    private static final Logger LOGGER = LogManager.getLogger(VersionTable.class);

    private final Node mNode;

    private final RowStore mStore;

    private final PeerExchange mExchange;

    private final UpstreamDirectory mDirectory;

    private final CurrentConfiguration mConfiguration;

    private final RowDecoder mDecoder;

    /** The rows as last known, by service. */
    private final Map<String, StoredRow> mRows = new HashMap<>();

    /** When engines of a version were last listed, milliseconds on the monotonic clock. */
    private final Map<ServiceVersion, Long> mLastListed = new HashMap<>();

    private boolean mLoaded;

    private boolean mWriting;

    /**
     * Content of a row. Immutable.
     *
     * @param versions the versions that have served; empty text for engines that state none
     */
    record ServiceVersions(Set<String> versions) {

        /** Copies the versions. */
        ServiceVersions {
            versions = Set.copyOf(versions);
        }
    }

    /**
     * A row as last known.
     *
     * @param version the row's version in the store
     * @param versions the software versions in it
     */
    private record StoredRow(long version, Set<String> versions) {}

    /** A software version of a service. */
    private record ServiceVersion(String service, String version) {}

    /**
     * Creates a table.
     *
     * @param configuration the routes, whose time limits determine how long streams may be resumed
     */
    public VersionTable(
            Node node,
            RowStore store,
            PeerExchange exchange,
            UpstreamDirectory directory,
            CurrentConfiguration configuration) {
        mNode = node;
        mStore = store;
        mExchange = exchange;
        mDirectory = directory;
        mConfiguration = configuration;
        mDecoder = new RowDecoder(node.metrics(), node::millis);
    }

    /** Follows the table, and keeps it up to date. */
    public void start() {
        TableExchange.ForPages pages = new TableExchange.ForPages(mExchange.tables(), TABLE);
        pages.follow(mNode, mStore, POLL_TIMING, this, new TableExchange.ForWholeTable(pages));
        mNode.control().scheduleWithFixedDelay(this::tick, TICK_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<SoftwareVersion> onlyVersion(String service) {
        boolean current = mLoaded && mDirectory.ageMillis() <= MAX_DIRECTORY_AGE_MILLIS;
        if (!current || !mRows.containsKey(service)) {
            return Optional.empty();
        }
        noteVersions(mNode.millis());
        Set<String> versions = recentVersions(service, mNode.millis());
        return versions.size() == 1
                ? versions.stream().findFirst().map(SoftwareVersion::new)
                : Optional.empty();
    }

    private Set<String> listed(String service) {
        return mDirectory.versions().getOrDefault(service, Set.of()).stream()
                .map(SoftwareVersion::value)
                .collect(Collectors.toSet());
    }

    /** Writes the first row that differs from the listed engines, at the hall's table reader. */
    private void tick() {
        if (!mLoaded || !mDirectory.isLoaded()) {
            return;
        }
        long now = mNode.millis();
        noteVersions(now);
        if (mWriting || !mExchange.isTableReader()) {
            return;
        }
        for (String service : mDirectory.versions().keySet()) {
            StoredRow row = mRows.get(service);
            Set<String> versions = versionsToStore(service, row, now);
            if (row == null || !row.versions().equals(versions)) {
                write(service, versions, row == null ? 0 : row.version());
                return;
            }
        }
    }

    /**
     * Notes when each version was listed last. For one that this router knows from the row only,
     * the retention time begins now.
     */
    private void noteVersions(long now) {
        mRows.forEach(
                (service, row) ->
                        row.versions()
                                .forEach(
                                        each ->
                                                mLastListed.putIfAbsent(
                                                        new ServiceVersion(service, each), now)));
        for (String service : mDirectory.versions().keySet()) {
            listed(service)
                    .forEach(each -> mLastListed.put(new ServiceVersion(service, each), now));
        }
        mLastListed.entrySet().removeIf(each -> isExpired(each, now) && !isStored(each.getKey()));
    }

    private boolean isExpired(Map.Entry<ServiceVersion, Long> listed, long now) {
        long longestTry =
                mConfiguration.current().map(RoutingConfiguration::longestTimeoutMillis).orElse(0L);
        long retention = Math.max(MIN_RETENTION_MILLIS, RESUMED_TRIES * longestTry);
        return now - listed.getValue() > retention;
    }

    private boolean isStored(ServiceVersion version) {
        StoredRow row = mRows.get(version.service());
        return row != null && row.versions().contains(version.version());
    }

    /** Returns the versions that were listed within the retention time. */
    private Set<String> recentVersions(String service, long now) {
        return mLastListed.entrySet().stream()
                .filter(each -> each.getKey().service().equals(service) && !isExpired(each, now))
                .map(each -> each.getKey().version())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Returns the listed versions and those of the row that have not expired. No other ones, since
     * routers that were started at different times would write the row in turns.
     */
    private Set<String> versionsToStore(String service, StoredRow row, long now) {
        Set<String> versions = listed(service);
        if (row != null) {
            Set<String> recent = recentVersions(service, now);
            row.versions().stream().filter(recent::contains).forEach(versions::add);
        }
        return versions;
    }

    private void write(String service, Set<String> versions, long expected) {
        mWriting = true;
        byte[] value = Json.bytes(new ServiceVersions(versions));
        mStore.write(new Row(TABLE, "", service, value, expected, false), expected)
                .whenComplete((write, failure) -> mNode.control().execute(() -> mWriting = false));
    }

    /** {@inheritDoc} */
    @Override
    public void onSnapshot(List<Row> rows) {
        mRows.clear();
        onChanges(rows);
        mLoaded = true;
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        rows.forEach(this::apply);
    }

    /** Applies a row. One that cannot be decoded counts as empty, and is overwritten. */
    private void apply(Row row) {
        Set<String> versions =
                row.deleted()
                        ? Set.of()
                        : mDecoder.decode(
                                        row, each -> Json.read(each.value(), ServiceVersions.class))
                                .map(ServiceVersions::versions)
                                .orElse(Set.of());
        StoredRow before =
                mRows.put(row.key(), new StoredRow(row.deleted() ? 0 : row.version(), versions));
        if (before == null || !before.versions().equals(versions)) {
            LOGGER.info("software versions service={} versions={}", row.key(), versions);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}
}
