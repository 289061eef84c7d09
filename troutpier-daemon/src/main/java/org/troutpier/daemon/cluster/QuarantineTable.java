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
 * Has all routers know which requests are no longer run. What one finds out it tells the others at
 * once; a row in the platform's store tells those that were cut off, frozen or not yet started, and
 * outlasts all routers. Confined to the control thread. Invariants: a row is only written over with
 * what is known of it merged in; nothing is lost by two routers that write at the same time.
 */
public final class QuarantineTable implements TableFollower.Listener {

    /** The table: one row for each request, by its fingerprint. */
    static final String TABLE = "troutpier_quarantine";

    /** How long to wait before a write is tried again, milliseconds. */
    private static final long RETRY_MILLIS = 400;

    /** How often it is looked which rows are to be deleted, milliseconds. */
    private static final long CLEAN_MILLIS = 5000;

    /** How many rows stay: as many as the store tells in one page. */
    private static final int MOST_ROWS = 500;

    /** Logs deletions. */
    private static final Logger LOGGER = LogManager.getLogger(QuarantineTable.class);

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The store. */
    private final RowStore mStore;

    /** Tells the other routers. */
    private final PeerExchange mExchange;

    /** What holds. */
    private final QuarantineSettings mSettings;

    /** What this router knows. */
    private final Quarantine mQuarantine;

    /** The thread that serves requests, to which the quarantine is confined. */
    private final Executor mTraffic;

    /** Tells of rows that cannot be read. */
    private final RowDecoder mFaults;

    /** The rows as they are known. */
    private final Map<RequestFingerprint, Stored> mStored = new HashMap<>();

    /** What is to be stored, in the order in which it was found out. */
    private final Map<RequestFingerprint, CrashRecord> mWanted = new LinkedHashMap<>();

    /** Whether a write is under way or waits to be tried again. */
    private boolean mWriting;

    /**
     * A row.
     *
     * @param version its version
     * @param record what it says
     * @param since when this router first saw it so, milliseconds
     */
    private record Stored(long version, CrashRecord record, long since) {}

    /**
     * Creates a table.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param store the store
     * @param exchange tells the other routers
     * @param settings what holds
     * @param quarantine what this router knows
     * @param traffic the thread that serves requests
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
        mFaults = new RowDecoder(node.metrics(), node::millis);
    }

    /** Follows the table, and tells what this router finds out from now on. */
    public void start() {
        TableExchange.PageSharer pages = new TableExchange.PageSharer(mExchange.tables(), TABLE);
        pages.follow(
                mNode,
                mStore,
                TablePollTimings.quarantine(mSettings.knownMillis()),
                this,
                new TableExchange.RequestingSharer(pages));
        mQuarantine.onLocalChange(report -> mNode.control().execute(() -> found(report)));
        mQuarantine.onMergedChange(report -> mNode.control().execute(() -> store(report)));
        mNode.control().scheduleWithFixedDelay(this::clean, CLEAN_MILLIS);
    }

    /**
     * Tells what this router found out.
     *
     * @param report what is known
     */
    private void found(CrashReport report) {
        mExchange.announceCrash(report);
        store(report);
    }

    /**
     * Has it stored what is known of a request of which this router found out a part, once the next
     * end would put it into quarantine: after an ordinary end, each request that ran there would be
     * a row else. If all routers lose power before that, one more upstream is lost.
     *
     * @param report what is known
     */
    private void store(CrashReport report) {
        boolean nearly = mSettings.isNearThreshold(report.record());
        if (nearly || mStored.containsKey(report.request())) {
            mWanted.merge(report.request(), report.record(), CrashRecord::merge);
            write();
        }
    }

    /** Writes what was found out first and is not stored yet. */
    private void write() {
        if (mWriting) {
            return;
        }
        mWanted.entrySet().removeIf(each -> merged(each).equals(known(each.getKey())));
        if (mWanted.isEmpty()) {
            return;
        }
        mWriting = true;
        Map.Entry<RequestFingerprint, CrashRecord> first = mWanted.entrySet().iterator().next();
        RequestFingerprint request = first.getKey();
        CrashRecord merged = merged(first);
        Stored stored = mStored.get(request);
        long version = stored == null ? 0 : stored.version();
        mStore.write(row(request, Json.bytes(merged), version), version)
                .thenAccept(
                        write -> mNode.control().execute(() -> written(request, merged, write)));
    }

    /**
     * Returns what a row is known to say.
     *
     * @param request the request that it is of
     * @return its record
     */
    private CrashRecord known(RequestFingerprint request) {
        Stored stored = mStored.get(request);
        return stored == null ? CrashRecord.NONE : stored.record();
    }

    /**
     * Returns what a row is to say.
     *
     * @param wanted the request that it is of and what is to be stored
     * @return that, with what the row says merged in
     */
    private CrashRecord merged(Map.Entry<RequestFingerprint, CrashRecord> wanted) {
        return known(wanted.getKey()).merge(wanted.getValue());
    }

    /**
     * Goes on after a write.
     *
     * @param request the request
     * @param record what was written
     * @param write what is known of the write
     */
    private void written(RequestFingerprint request, CrashRecord record, WriteResult write) {
        switch (write.outcome()) {
            case WRITTEN -> {
                note(request, write.version(), record);
                mWriting = false;
                write();
            }
            case CONFLICT, OUTDATED -> readAgain();
            default -> writeLater();
        }
    }

    /** Tries a write again after a while. */
    private void writeLater() {
        mNode.control()
                .schedule(
                        () -> {
                            mWriting = false;
                            write();
                        },
                        RETRY_MILLIS);
    }

    /** Reads what another router wrote, to merge it in. */
    private void readAgain() {
        mStore.read(TABLE, "")
                .whenComplete(
                        (page, failure) -> mNode.control().execute(() -> read(page, failure)));
    }

    /**
     * Goes on after a read.
     *
     * @param page what was read, or null
     * @param failure why nothing was read, or null
     */
    private void read(RowPage page, Throwable failure) {
        if (failure != null) {
            LOGGER.warn("quarantine not read cause={}", String.valueOf(failure.getMessage()));
            writeLater();
            return;
        }
        onSnapshot(page.rows());
        mWriting = false;
        write();
    }

    /**
     * {@inheritDoc} What the rows held stays known, and the hall's reader has it stored again where
     * the copy lacks it.
     */
    @Override
    public void onRestored() {
        if (mExchange.isTableReader()) {
            mStored.forEach(
                    (request, stored) ->
                            mWanted.merge(request, stored.record(), CrashRecord::merge));
        }
        mStored.clear();
        mNode.control().schedule(this::write, TablePollTimings.restoreMillis());
    }

    /**
     * {@inheritDoc} A row that this router saw just now stays: what another router told of the
     * table may be older.
     */
    @Override
    public void onSnapshot(List<Row> rows) {
        Set<RequestFingerprint> gone = new HashSet<>(mStored.keySet());
        for (Row row : rows) {
            request(row).ifPresent(gone::remove);
        }
        gone.removeIf(request -> ageMillis(mStored.get(request)) <= mSettings.knownMillis());
        gone.forEach(this::dropped);
        onChanges(rows);
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(List<Row> rows) {
        for (Row row : rows) {
            request(row).ifPresent(request -> take(request, row));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onStoreUnavailable() {}

    /**
     * Takes a row, unless a newer one is known. One that another writer left says nothing and is
     * written over.
     *
     * @param request the request that it is of
     * @param row the row
     */
    private void take(RequestFingerprint request, Row row) {
        if (!news(request, row.version())) {
            return;
        }
        if (row.deleted()) {
            dropped(request);
            return;
        }
        CrashRecord record =
                mFaults.decode(row, each -> Json.read(each.value(), CrashRecord.class))
                        .orElse(CrashRecord.NONE);
        note(request, row.version(), record);
        CrashReport report = new CrashReport(request, record);
        mTraffic.execute(() -> mQuarantine.merge(report));
    }

    /**
     * Notes what a row says, unless a newer version of it is known.
     *
     * @param request the request that it is of
     * @param version its version
     * @param record what it says
     */
    private void note(RequestFingerprint request, long version, CrashRecord record) {
        if (news(request, version)) {
            mStored.put(request, new Stored(version, record, mNode.millis()));
        }
    }

    /**
     * Returns whether a version of a row is newer than what is known of it.
     *
     * @param request the request that it is of
     * @param version the version
     * @return whether it is
     */
    private boolean news(RequestFingerprint request, long version) {
        Stored known = mStored.get(request);
        return known == null || known.version() < version;
    }

    /**
     * Makes a row.
     *
     * @param request the request that it is of
     * @param value what it says, as encoded
     * @param version its version
     * @return the row
     */
    private static Row row(RequestFingerprint request, byte[] value, long version) {
        return new Row(TABLE, "", request.value(), value, version, false);
    }

    /**
     * Forgets a request whose row was deleted.
     *
     * @param request the request
     */
    private void dropped(RequestFingerprint request) {
        if (mStored.remove(request) != null) {
            LOGGER.info("quarantine row deleted content={}", request);
            mTraffic.execute(() -> mQuarantine.remove(request));
        }
    }

    /**
     * Reads a row's key.
     *
     * @param row the row
     * @return the request that it is of, or empty where another writer left it
     */
    private Optional<RequestFingerprint> request(Row row) {
        return mFaults.decode(row, each -> new RequestFingerprint(each.key()));
    }

    /** Deletes rows that are too old or too many, if this router reads for its hall. */
    private void clean() {
        if (!mExchange.isTableReader()) {
            return;
        }
        List<RequestFingerprint> oldest = new ArrayList<>(mStored.keySet());
        oldest.sort(Comparator.comparingLong(request -> mStored.get(request).version()));
        int left = oldest.size();
        for (RequestFingerprint request : oldest) {
            Stored stored = mStored.get(request);
            if (old(stored) || left > MOST_ROWS) {
                left--;
                drop(request, stored);
            }
        }
    }

    /**
     * Returns whether a row is too old.
     *
     * @param stored the row
     * @return whether it is
     */
    private boolean old(Stored stored) {
        return ageMillis(stored) > mSettings.retentionMillis(stored.record());
    }

    /**
     * Returns for how long a row has been as it is.
     *
     * @param stored the row
     * @return milliseconds since this router first saw it so
     */
    private long ageMillis(Stored stored) {
        return mNode.millis() - stored.since();
    }

    /**
     * Deletes a row; one that could not be deleted is tried again the next time.
     *
     * @param request the request that it is of
     * @param stored the row
     */
    private void drop(RequestFingerprint request, Stored stored) {
        mStore.delete(row(request, new byte[0], stored.version()))
                .thenAccept(
                        write ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (write.outcome() == Outcome.WRITTEN) {
                                                        dropped(request);
                                                    }
                                                }));
    }
}
