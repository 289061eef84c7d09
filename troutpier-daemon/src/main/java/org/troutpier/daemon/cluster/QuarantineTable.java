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
import org.troutpier.daemon.quarantine.CrashTrait;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
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

    /** The table; one row for each trait, by its key. */
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
    private final Map<CrashTrait, StoredRow> mRows = new HashMap<>();

    /** Records to be stored, in the order in which they were found. */
    private final Map<CrashTrait, CrashRecord> mPending = new LinkedHashMap<>();

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
     * Stores a record to which this router contributed, once the next crash would put its trait
     * into quarantine. Stored earlier, an ordinary end of an upstream would create a row for each
     * request that ran there. If all routers lose power before a record is stored, one more
     * upstream is lost.
     */
    private void store(CrashReport report) {
        boolean nearThreshold = mSettings.isNearThreshold(report.record());
        if (nearThreshold || mRows.containsKey(report.trait())) {
            mPending.merge(report.trait(), report.record(), CrashRecord::merge);
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
        Map.Entry<CrashTrait, CrashRecord> first = mPending.entrySet().iterator().next();
        CrashTrait trait = first.getKey();
        CrashRecord merged = mergedRecord(first);
        StoredRow stored = mRows.get(trait);
        long version = stored == null ? 0 : stored.version();
        mStore.write(row(trait, Json.bytes(merged), version), version)
                .thenAccept(
                        write -> mNode.control().execute(() -> onWritten(trait, merged, write)));
    }

    private CrashRecord storedRecord(CrashTrait trait) {
        StoredRow stored = mRows.get(trait);
        return stored == null ? CrashRecord.NONE : stored.record();
    }

    /**
     * Returns the record to be written to a row.
     *
     * @param pending the request and its new record
     * @return the new record, with the known content of the row merged in
     */
    private CrashRecord mergedRecord(Map.Entry<CrashTrait, CrashRecord> pending) {
        return storedRecord(pending.getKey()).merge(pending.getValue());
    }

    private void onWritten(CrashTrait trait, CrashRecord record, WriteResult write) {
        switch (write.outcome()) {
            case WRITTEN -> {
                noteRow(trait, write.version(), record);
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
                    (trait, stored) -> mPending.merge(trait, stored.record(), CrashRecord::merge));
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
        Set<CrashTrait> gone = new HashSet<>(mRows.keySet());
        for (Row row : rows) {
            decodeTrait(row).ifPresent(gone::remove);
        }
        gone.removeIf(trait -> ageMillis(mRows.get(trait)) <= mSettings.knownMillis());
        gone.forEach(this::onDeleted);
        onChanges(rows);
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        for (Row row : rows) {
            decodeTrait(row).ifPresent(trait -> apply(trait, row));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}

    /**
     * Applies a row, unless a newer version is known. A row that cannot be decoded holds no record
     * and will be overwritten.
     */
    private void apply(CrashTrait trait, Row row) {
        if (!isNewer(trait, row.version())) {
            return;
        }
        if (row.deleted()) {
            onDeleted(trait);
            return;
        }
        CrashRecord record =
                mDecoder.decode(row, each -> Json.read(each.value(), CrashRecord.class))
                        .orElse(CrashRecord.NONE);
        noteRow(trait, row.version(), record);
        CrashReport report = new CrashReport(trait, record);
        mTraffic.execute(() -> mQuarantine.merge(report));
    }

    /** Notes the content of a row, unless a newer version is known. */
    private void noteRow(CrashTrait trait, long version, CrashRecord record) {
        if (isNewer(trait, version)) {
            mRows.put(trait, new StoredRow(version, record, mNode.millis()));
        }
    }

    private boolean isNewer(CrashTrait trait, long version) {
        StoredRow known = mRows.get(trait);
        return known == null || known.version() < version;
    }

    private static Row row(CrashTrait trait, byte[] value, long version) {
        return new Row(TABLE, "", trait.key(), value, version, false);
    }

    private void onDeleted(CrashTrait trait) {
        if (mRows.remove(trait) != null) {
            LOGGER.info("quarantine row deleted {}", trait.logField());
            mTraffic.execute(() -> mQuarantine.remove(trait));
        }
    }

    private Optional<CrashTrait> decodeTrait(Row row) {
        return mDecoder.decode(row, each -> CrashTrait.parse(each.key()));
    }

    /** Deletes expired and surplus rows, if this router is its hall's table reader. */
    private void cleanUp() {
        if (!mExchange.isTableReader()) {
            return;
        }
        List<CrashTrait> oldest = new ArrayList<>(mRows.keySet());
        oldest.sort(Comparator.comparingLong(trait -> mRows.get(trait).version()));
        int remaining = oldest.size();
        for (CrashTrait trait : oldest) {
            StoredRow stored = mRows.get(trait);
            if (isExpired(stored) || remaining > MAX_ROWS) {
                remaining--;
                delete(trait, stored);
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
    private void delete(CrashTrait trait, StoredRow stored) {
        mStore.delete(row(trait, new byte[0], stored.version()))
                .thenAccept(
                        write ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (write.outcome() == Outcome.WRITTEN) {
                                                        onDeleted(trait);
                                                    }
                                                }));
    }
}
