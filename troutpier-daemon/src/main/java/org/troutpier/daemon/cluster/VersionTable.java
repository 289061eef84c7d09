package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.resume.ServedVersions;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.rows.RowDecoder;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Outcome;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.WriteResult;
import org.troutpier.daemon.rows.TableFollower;

/**
 * The software versions that have served each service lately, in a table of the store with one row
 * for each service. So a router that has just started, even after the loss of all, knows whether an
 * older stream can have begun at another version. The table readers of the halls write it when the
 * versions of the listed upstreams change, which is rare. Confined to the control thread, except
 * {@link #isStored}. Invariants: a version is removed only after none of its upstreams was listed
 * for the retention time; a version is returned as the only one only if the row of its service
 * names no other and the list of upstreams is recent. A version is used once its row is stored, so
 * a row that is read after a caller resumes a stream names the version that began it.
 */
public final class VersionTable implements TableFollower.Listener, ServedVersions {

    static final String TABLE = "troutpier_versions";

    /** Stands in a row for unknown versions that may have served. */
    private static final String LOST = "?";

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
     * Age of the list of upstreams from which on it may lack some that others use, milliseconds. A
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

    /** The versions in the rows, replaced on each change. */
    private volatile Map<String, Set<String>> mStored = Map.of();

    private boolean mLoaded;

    private boolean mWriting;

    private final FreshReads mReads;

    /** The services whose rows were restored from a copy and do not say so yet. */
    private final Set<String> mRestored = new HashSet<>();

    /** The services whose streams of several versions may be resumed. */
    private Set<String> mInDoubt = Set.of();

    private Consumer<String> mDoubtListener = service -> {};

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
     * @param routers the number of routers that may exist
     */
    public VersionTable(
            Node node,
            RowStore store,
            PeerExchange exchange,
            UpstreamDirectory directory,
            CurrentConfiguration configuration,
            IntSupplier routers) {
        mNode = node;
        mStore = store;
        mExchange = exchange;
        mDirectory = directory;
        mConfiguration = configuration;
        mDecoder = new RowDecoder(node.metrics(), node::millis);
        mReads = new FreshReads(node.control(), node::millis, routers, this::read);
    }

    /** Sets the listener that is called with each service that comes into doubt. */
    public void setDoubtListener(Consumer<String> listener) {
        mDoubtListener = listener;
    }

    /** Follows the table, and keeps it up to date. */
    public void start() {
        TableExchange.ForPages pages = new TableExchange.ForPages(mExchange.tables(), TABLE);
        pages.follow(mNode, mStore, POLL_TIMING, this, new TableExchange.ForWholeTable(pages));
        mDirectory.addListener(listed -> update());
        mNode.control().scheduleWithFixedDelay(this::update, TICK_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public void refresh(Consumer<Boolean> next) {
        mReads.await(next);
    }

    private void read(Consumer<Boolean> next) {
        mStore.read(TABLE, "")
                .whenComplete(
                        (page, failure) ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        onChanges(page.rows());
                                                    }
                                                    next.accept(failure == null);
                                                }));
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
        return versions.size() == 1 && !versions.contains(LOST)
                ? versions.stream().findFirst().map(SoftwareVersion::new)
                : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public boolean isInDoubt(String service) {
        return mInDoubt.contains(service);
    }

    /** Returns whether any service is in doubt. */
    boolean isAnyInDoubt() {
        return !mInDoubt.isEmpty();
    }

    /** {@inheritDoc} */
    @Override
    public boolean isStored(StreamOrigin origin) {
        return mStored.getOrDefault(origin.service(), Set.of()).contains(origin.version().value());
    }

    /** Returns how long streams of a version may be resumed after its last upstream. */
    long retentionMillis() {
        long longestTry =
                mConfiguration.current().map(RoutingConfiguration::longestTimeoutMillis).orElse(0L);
        return Math.max(MIN_RETENTION_MILLIS, RESUMED_TRIES * longestTry);
    }

    private Set<String> listed(String service) {
        return mDirectory.versions().getOrDefault(service, Set.of()).stream()
                .map(SoftwareVersion::value)
                .collect(Collectors.toSet());
    }

    /** Writes the first row that differs from the listed upstreams, at the hall's table reader. */
    private void update() {
        if (!mLoaded || !mDirectory.isLoaded()) {
            return;
        }
        long now = mNode.millis();
        noteVersions(now);
        updateDoubt(now);
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

    private void updateDoubt(long now) {
        Set<String> before = mInDoubt;
        mInDoubt =
                mDirectory.versions().keySet().stream()
                        .filter(service -> recentVersions(service, now).size() > 1)
                        .collect(Collectors.toUnmodifiableSet());
        mInDoubt.stream().filter(each -> !before.contains(each)).forEach(mDoubtListener);
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
        mLastListed.entrySet().removeIf(each -> isExpired(each, now) && !isInRow(each.getKey()));
    }

    private boolean isExpired(Map.Entry<ServiceVersion, Long> listed, long now) {
        return now - listed.getValue() > retentionMillis();
    }

    private boolean isInRow(ServiceVersion version) {
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
            if (mRestored.contains(service)) {
                versions.add(LOST);
            }
        }
        return versions;
    }

    private void write(String service, Set<String> versions, long expected) {
        mWriting = true;
        byte[] value = Json.bytes(new ServiceVersions(versions));
        mStore.write(new Row(TABLE, "", service, value, expected, false), expected)
                .thenAccept(
                        result ->
                                mNode.control()
                                        .execute(() -> onWritten(service, versions, result)));
    }

    /** Goes on with the next row; after a failure at the next tick. */
    private void onWritten(String service, Set<String> versions, WriteResult result) {
        mWriting = false;
        if (result.outcome() == Outcome.WRITTEN) {
            put(service, new StoredRow(result.version(), versions));
            update();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onSnapshot(List<Row> rows) {
        mRows.clear();
        onChanges(rows);
        mLoaded = true;
        update();
    }

    /** {@inheritDoc} Marks all rows, which may lack versions. */
    @Override
    public void onRestored() {
        for (String service : mRows.keySet()) {
            mLastListed.put(new ServiceVersion(service, LOST), mNode.millis());
            mRestored.add(service);
        }
        LOGGER.warn(
                "version rows restored from a copy services={}, unknown origins are refused for"
                        + " {} ms",
                mRows.keySet(),
                retentionMillis());
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        rows.forEach(this::apply);
    }

    /**
     * Applies a row, unless a later one is known. One that was deleted or cannot be decoded may
     * have had any version.
     */
    private void apply(Row row) {
        StoredRow before = mRows.get(row.key());
        if (before != null && before.version() > row.version()) {
            return;
        }
        Set<String> versions =
                row.deleted()
                        ? Set.of(LOST)
                        : mDecoder.decode(
                                        row, each -> Json.read(each.value(), ServiceVersions.class))
                                .map(ServiceVersions::versions)
                                .orElse(Set.of(LOST));
        put(row.key(), new StoredRow(row.deleted() ? 0 : row.version(), versions));
    }

    private void put(String service, StoredRow row) {
        StoredRow before = mRows.put(service, row);
        if (row.versions().contains(LOST)) {
            mRestored.remove(service);
        }
        if (before == null || !before.versions().equals(row.versions())) {
            LOGGER.info("software versions service={} versions={}", service, row.versions());
        }
        mStored =
                mRows.entrySet().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey, each -> each.getValue().versions()));
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}
}
