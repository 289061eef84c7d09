package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.Json;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.quarantine.CrashRecord;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.quarantine.RequestFingerprint;
import org.troutpier.daemon.rows.RowDecoder;
import org.troutpier.daemon.rows.RowStore;
import org.troutpier.daemon.rows.RowStore.Outcome;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;
import org.troutpier.daemon.rows.RowStore.WriteResult;
import org.troutpier.daemon.rows.TableFollower;

/**
 * Distributes the quarantine to all routers. A router sends what it finds to the others
 * immediately; a row in the platform's store reaches routers that were disconnected, frozen or not
 * yet started, and survives the loss of all routers. Confined to the control thread. Invariants: a
 * row is overwritten only with its known content merged in; no record is lost when two routers
 * write at the same time.
 */
public final class QuarantineTable implements TableFollower.Listener {

    /** The table; one row for each request, keyed by its fingerprint. */
    static final String TABLE = "troutpier_quarantine";

    /** Delay before a write is retried, milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /** Interval between deletions of expired rows, milliseconds. */
    private static final long CLEANUP_MILLIS = 5000;

    /** Largest number of rows kept: as many as the store returns in one page. */
    private static final int MAX_ROWS = 500;

    private static final Logger LOGGER = LogManager.getLogger(QuarantineTable.class);

    private final Node mNode;

    private final RowStore mStore;

    private final PeerExchange mExchange;

    private final QuarantineSettings mSettings;

    private final Quarantine mQuarantine;

    /** The thread that serves requests, to which the quarantine is confined. */
    private final Executor mTraffic;

    private final RowDecoder mDecoder;

    /** The rows as last known. */
    private final Map<RequestFingerprint, StoredRow> mRows = new HashMap<>();

    /** Records to be stored, in the order in which they were found. */
    private final Map<RequestFingerprint, CrashRecord> mPending = new LinkedHashMap<>();

    /** Whether a write is in progress or waits for a retry. */
    private boolean mWriting;

    /**
     * A row.
     *
     * @param version its version
     * @param record its content
     * @param sinceMillis when this router first saw this version, milliseconds on the monotonic
     *     clock
     */
    private record StoredRow(long version, CrashRecord record, long sinceMillis) {}

    /**
     * Creates a table.
     *
     * @param exchange announces crashes to the other routers
     */
    public QuarantineTable(
            Node node,
            RowStore store,
            PeerExchange exchange,
            QuarantineSettings settings,
            Quarantine quarantine,
            Executor traffic) {
        mNode = node;
        mStore = store;
        mExchange = exchange;
        mSettings = settings;
        mQuarantine = quarantine;
        mTraffic = traffic;
        mDecoder = new RowDecoder(node.metrics(), node::millis);
    }

    /** Follows the table, and publishes what this router finds from now on. */
    public void start() {
        TableExchange.ForPages pages = new TableExchange.ForPages(mExchange.tables(), TABLE);
        pages.follow(
                mNode,
                mStore,
                TablePollTimings.quarantine(mSettings.knownMillis()),
                this,
                new TableExchange.ForWholeTable(pages));
        mQuarantine.onLocalChange(report -> mNode.control().execute(() -> onLocalChange(report)));
        mQuarantine.onMergedChange(report -> mNode.control().execute(() -> store(report)));
        mNode.control().scheduleWithFixedDelay(this::cleanUp, CLEANUP_MILLIS);
    }

    /** Announces and stores a record that this router found. */
    private void onLocalChange(CrashReport report) {
        mExchange.announceCrash(report);
        store(report);
    }

    /**
     * Stores a record to which this router contributed, once the next crash would put its request
     * into quarantine. Stored earlier, an ordinary end of an upstream would create a row for each
     * request that ran there. If all routers lose power before a record is stored, one more
     * upstream is lost.
     */
    private void store(CrashReport report) {
        boolean nearThreshold = mSettings.isNearThreshold(report.record());
        if (nearThreshold || mRows.containsKey(report.request())) {
            mPending.merge(report.request(), report.record(), CrashRecord::merge);
            write();
        }
    }

    /** Writes the first record that is not stored yet. */
    private void write() {
        if (mWriting) {
            return;
        }
        mPending.entrySet()
                .removeIf(each -> mergedRecord(each).equals(storedRecord(each.getKey())));
        if (mPending.isEmpty()) {
            return;
        }
        mWriting = true;
        Map.Entry<RequestFingerprint, CrashRecord> first = mPending.entrySet().iterator().next();
        RequestFingerprint request = first.getKey();
        CrashRecord merged = mergedRecord(first);
        StoredRow stored = mRows.get(request);
        long version = stored == null ? 0 : stored.version();
        mStore.write(row(request, Json.bytes(merged), version), version)
                .thenAccept(
                        write -> mNode.control().execute(() -> onWritten(request, merged, write)));
    }

    private CrashRecord storedRecord(RequestFingerprint request) {
        StoredRow stored = mRows.get(request);
        return stored == null ? CrashRecord.NONE : stored.record();
    }

    /**
     * Returns the record to be written to a row.
     *
     * @param pending the request and its new record
     * @return the new record, with the known content of the row merged in
     */
    private CrashRecord mergedRecord(Map.Entry<RequestFingerprint, CrashRecord> pending) {
        return storedRecord(pending.getKey()).merge(pending.getValue());
    }

    private void onWritten(RequestFingerprint request, CrashRecord record, WriteResult write) {
        switch (write.outcome()) {
            case WRITTEN -> {
                noteRow(request, write.version(), record);
                mWriting = false;
                write();
            }
            case CONFLICT, OUTDATED -> readTable();
            default -> retryWrite();
        }
    }

    private void retryWrite() {
        mNode.control()
                .schedule(
                        () -> {
                            mWriting = false;
                            write();
                        },
                        RETRY_MILLIS);
    }

    /** Reads the table to merge in another router's write. */
    private void readTable() {
        mStore.read(TABLE, "")
                .whenComplete(
                        (page, failure) -> mNode.control().execute(() -> onRead(page, failure)));
    }

    /**
     * Continues after the table was read for a merge.
     *
     * @param page the table, or null
     * @param failure why it was not read, or null
     */
    private void onRead(RowPage page, Throwable failure) {
        if (failure != null) {
            LOGGER.warn(
                    "cannot read quarantine table cause={}", String.valueOf(failure.getMessage()));
            retryWrite();
            return;
        }
        onSnapshot(page.rows());
        mWriting = false;
        write();
    }

    /**
     * {@inheritDoc} The records of the rows stay in quarantine, and the hall's table reader stores
     * those again that the restored table lacks.
     */
    @Override
    public void onRestored() {
        if (mExchange.isTableReader()) {
            mRows.forEach(
                    (request, stored) ->
                            mPending.merge(request, stored.record(), CrashRecord::merge));
        }
        mRows.clear();
        mNode.control().schedule(this::write, TablePollTimings.randomRestoreDelayMillis());
    }

    /**
     * {@inheritDoc} A missing row that this router saw a short time ago is kept, since a table sent
     * by another router may be older.
     */
    @Override
    public void onSnapshot(List<Row> rows) {
        Set<RequestFingerprint> gone = new HashSet<>(mRows.keySet());
        for (Row row : rows) {
            decodeFingerprint(row).ifPresent(gone::remove);
        }
        gone.removeIf(request -> ageMillis(mRows.get(request)) <= mSettings.knownMillis());
        gone.forEach(this::onDeleted);
        onChanges(rows);
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        for (Row row : rows) {
            decodeFingerprint(row).ifPresent(request -> apply(request, row));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}

    /**
     * Applies a row, unless a newer version is known. A row that cannot be decoded holds no record
     * and will be overwritten.
     */
    private void apply(RequestFingerprint request, Row row) {
        if (!isNewer(request, row.version())) {
            return;
        }
        if (row.deleted()) {
            onDeleted(request);
            return;
        }
        CrashRecord record =
                mDecoder.decode(row, each -> Json.read(each.value(), CrashRecord.class))
                        .orElse(CrashRecord.NONE);
        noteRow(request, row.version(), record);
        CrashReport report = new CrashReport(request, record);
        mTraffic.execute(() -> mQuarantine.merge(report));
    }

    /** Notes the content of a row, unless a newer version is known. */
    private void noteRow(RequestFingerprint request, long version, CrashRecord record) {
        if (isNewer(request, version)) {
            mRows.put(request, new StoredRow(version, record, mNode.millis()));
        }
    }

    private boolean isNewer(RequestFingerprint request, long version) {
        StoredRow known = mRows.get(request);
        return known == null || known.version() < version;
    }

    private static Row row(RequestFingerprint request, byte[] value, long version) {
        return new Row(TABLE, "", request.value(), value, version, false);
    }

    private void onDeleted(RequestFingerprint request) {
        if (mRows.remove(request) != null) {
            LOGGER.info("quarantine row deleted content={}", request);
            mTraffic.execute(() -> mQuarantine.remove(request));
        }
    }

    private Optional<RequestFingerprint> decodeFingerprint(Row row) {
        return mDecoder.decode(row, each -> new RequestFingerprint(each.key()));
    }

    /** Deletes expired and surplus rows, if this router is its hall's table reader. */
    private void cleanUp() {
        if (!mExchange.isTableReader()) {
            return;
        }
        List<RequestFingerprint> oldest = new ArrayList<>(mRows.keySet());
        oldest.sort(Comparator.comparingLong(request -> mRows.get(request).version()));
        int remaining = oldest.size();
        for (RequestFingerprint request : oldest) {
            StoredRow stored = mRows.get(request);
            if (isExpired(stored) || remaining > MAX_ROWS) {
                remaining--;
                delete(request, stored);
            }
        }
    }

    private boolean isExpired(StoredRow stored) {
        return ageMillis(stored) > mSettings.retentionMillis(stored.record());
    }

    /**
     * Returns the age of a row's version.
     *
     * @return milliseconds since this router first saw it
     */
    private long ageMillis(StoredRow stored) {
        return mNode.millis() - stored.sinceMillis();
    }

    /** Deletes a row; the next cleanup retries a failed deletion. */
    private void delete(RequestFingerprint request, StoredRow stored) {
        mStore.delete(row(request, new byte[0], stored.version()))
                .thenAccept(
                        write ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (write.outcome() == Outcome.WRITTEN) {
                                                        onDeleted(request);
                                                    }
                                                }));
    }
}
