package org.troutpier.daemon.rows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.daemon.node.ControlExecutor;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;

/**
 * Follows a table of the store: reads the whole table, then its changes, and the whole table again
 * when the change feed no longer reaches back far enough. Confined to the control thread, except
 * {@link #isStoreAvailable()}. Invariants: a call that is not answered in time does not block the
 * next one, and the first answer counts; after any failure the follower tries again; the state that
 * the listener receives never goes back in version. While the store does not answer, the follower
 * requests the table from another router ({@link ChangePublisher#requestTable}); such a state
 * carries the time for which it has been followed without interruption.
 */
public final class TableFollower {

    /** Delay after the first failure. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 100;

    /**
     * Time over which routers spread their reads of the whole table when they learn from each other
     * that the store was restored from a backup.
     */
    private static final long RESTORED_SPREAD_MILLIS = 300;

    /** Wait for a change while the store may be unavailable. */
    private static final int PROBE_WAIT_MILLIS = 1;

    private static final Logger LOGGER = LogManager.getLogger(TableFollower.class);

    private final ControlExecutor mControl;

    private final RowStore mStore;

    private final String mTable;

    private final PollTiming mTiming;

    private final Listener mListener;

    private final ChangePublisher mPublisher;

    private final LongSupplier mMillis;

    /** Rows by key, kept to answer other routers. */
    private final Map<String, Row> mRows = new HashMap<>();

    /** Time before which no call is needed, milliseconds on the monotonic clock. */
    private long mNotBefore;

    private long mVersion;

    /**
     * Version of the last change of any row; after a read of the whole table, the version of that
     * read.
     */
    private long mChangedVersion;

    /** Whether the whole table must be read next. */
    private boolean mSnapshotNeeded = true;

    /** Failures since the store's last answer. Written by the control thread, read by any. */
    private volatile int mFailures;

    /** Number of the last call. */
    private int mLastCall;

    /** Number of the oldest call whose answer still counts. */
    private int mOldestValidCall = 1;

    /** Number of the last scheduled poll. Earlier ones that are still scheduled have no effect. */
    private int mScheduled;

    /** Whether a call has failed or has been late since the state was last confirmed. */
    private boolean mUncertain;

    /** Time as of which the state is the store's, milliseconds on the monotonic clock. */
    private long mConfirmedAt;

    /**
     * Time since which the state has been confirmed without interruption, milliseconds on the
     * monotonic clock.
     */
    private long mUnbrokenSince;

    /**
     * Timing of the calls to the store. Immutable and thread safe.
     *
     * @param waitMillis how long a call waits for a change
     * @param pauseMillis pause between calls
     * @param sharedValidityMillis how long no call is needed after another router has shared
     *     changes, and the maximum age of state that is sent to other routers; 0 if nothing is
     *     shared
     * @param retryMillis how long a call may take beyond its wait for a change before the next one
     *     is started beside it
     */
    public record PollTiming(
            int waitMillis, long pauseMillis, long sharedValidityMillis, long retryMillis) {}

    /** Publishes changes to other routers, and requests state from them. */
    public interface ChangePublisher {

        /** Precedes all versions. */
        long NO_VERSION = -1;

        /**
         * Publishes changes that this router has read from the store.
         *
         * @param after the version that the changes follow
         * @param version the newest version that the changes reflect
         * @param unbrokenMillis time for which the table has been followed without interruption
         * @param rows all changed rows; may be empty. Rows without news for this router are
         *     included, since another router may have missed an earlier change
         */
        void publish(long after, long version, long unbrokenMillis, List<Row> rows);

        /**
         * Requests the table from another router because the store does not answer this one. The
         * answer is passed to {@link TableFollower#applyPeerState}.
         *
         * @param version the newest version that this router has; {@link #NO_VERSION} if it needs
         *     the whole table
         */
        default void requestTable(long version) {}
    }

    /** Receives the state of the table on the control thread. */
    public interface Listener {

        /**
         * Called when the state is confirmed to be the store's, before any changes that came with
         * the confirmation.
         *
         * @param own whether this router read the state from the store itself
         * @param at time as of which the state is the store's, milliseconds on the monotonic clock
         * @param since time since which the state has been confirmed without interruption, by this
         *     router or by the one that sent it, milliseconds on the monotonic clock
         */
        default void onConfirmed(boolean own, long at, long since) {}

        /**
         * Called before {@link #onSnapshot} if the store was restored from a backup: the latest
         * writes may be missing, and deleted rows may be back.
         */
        default void onRestored() {}

        /**
         * Called with the whole table.
         *
         * @param rows all rows
         */
        void onSnapshot(List<Row> rows);

        /**
         * Called with changes.
         *
         * @param rows the changed rows in order; may be empty
         */
        void onChanges(List<Row> rows);

        /** Called after each failed read, except {@link RowStoreException.Reason#HISTORY_GONE}. */
        void onStoreUnavailable();
    }

    /**
     * Creates a follower.
     *
     * @param control the control thread
     * @param timing timing of the calls
     * @param listener receives the state on the control thread
     * @param publisher publishes changes to other routers
     * @param millis the monotonic clock, milliseconds
     */
    public TableFollower(
            ControlExecutor control,
            RowStore store,
            String table,
            PollTiming timing,
            Listener listener,
            ChangePublisher publisher,
            LongSupplier millis) {
        mPublisher = publisher;
        mMillis = millis;
        mNotBefore = mMillis.getAsLong();
        mConfirmedAt = mMillis.getAsLong();
        mControl = control;
        mStore = store;
        mTable = table;
        mTiming = timing;
        mListener = listener;
    }

    /** Starts to follow the table. */
    public void start() {
        schedule(0);
    }

    /**
     * Returns whether the store answered the last completed call; {@code true} before the first.
     * Thread safe.
     */
    public boolean isStoreAvailable() {
        return mFailures == 0;
    }

    /**
     * Applies changes that another router has read. They are dropped if they leave a gap after the
     * known version or are older than it; otherwise the next call is postponed. If they show a
     * later era, the whole table is read instead.
     *
     * @param after the version that the changes follow
     * @param version the newest version that the changes reflect
     * @param unbrokenMillis time for which the other router has followed the table without
     *     interruption
     * @param rows the changed rows
     */
    public void applyShared(long after, long version, long unbrokenMillis, List<Row> rows) {
        if (StoreVersion.era(version) > StoreVersion.era(mVersion) && !mSnapshotNeeded) {
            mSnapshotNeeded = true;
            schedule(ThreadLocalRandom.current().nextLong(RESTORED_SPREAD_MILLIS));
        }
        if (mSnapshotNeeded || after > mVersion || version < mVersion) {
            return;
        }
        confirm(false, 0, unbrokenMillis, version);
        if (version > mVersion) {
            applyChanges(version, rows);
        }
        mNotBefore = mMillis.getAsLong() + mTiming.sharedValidityMillis();
    }

    /**
     * Returns the state for a router that the store does not answer.
     *
     * @param version the newest version that the other router has
     * @return the state, without rows if nothing has changed since that version; empty if this
     *     router's own state is incomplete or too old
     */
    public Optional<TableState> stateSince(long version) {
        long age = mMillis.getAsLong() - mConfirmedAt;
        if (mSnapshotNeeded || age > mTiming.sharedValidityMillis()) {
            return Optional.empty();
        }
        boolean whole = mChangedVersion > version;
        return Optional.of(
                new TableState(
                        mVersion,
                        age,
                        mConfirmedAt - mUnbrokenSince,
                        whole,
                        whole ? List.copyOf(mRows.values()) : List.of()));
    }

    /**
     * Applies the state that another router sent, unless it is older than the known one, or lacks
     * the rows that this router needs.
     */
    public void applyPeerState(TableState state) {
        if (state.version() < mVersion || mSnapshotNeeded && !state.whole()) {
            return;
        }
        confirm(false, state.ageMillis(), state.unbrokenMillis(), state.version());
        if (state.whole()) {
            applySnapshot(state.version(), state.rows());
        } else {
            mVersion = state.version();
        }
    }

    /** Schedules the next poll, replacing any scheduled earlier. */
    private void schedule(long millis) {
        int number = ++mScheduled;
        mControl.schedule(
                () -> {
                    if (number == mScheduled) {
                        poll();
                    }
                },
                millis);
    }

    /**
     * Starts the next read, or postpones it if changes that another router shared make it
     * unnecessary.
     */
    private void poll() {
        long untilDue = mNotBefore - mMillis.getAsLong();
        if (!mSnapshotNeeded && untilDue > 0) {
            schedule(untilDue);
            return;
        }
        boolean unanswered = mLastCall >= mOldestValidCall;
        if (unanswered) {
            mUncertain = true;
            mPublisher.requestTable(mSnapshotNeeded ? ChangePublisher.NO_VERSION : mVersion);
        }
        call(unanswered ? PROBE_WAIT_MILLIS : mTiming.waitMillis());
    }

    /**
     * Calls the store, and schedules the next call in case this one is not answered in time.
     *
     * @param waitMillis how long the call waits for a change
     */
    private void call(int waitMillis) {
        int call = ++mLastCall;
        boolean whole = mSnapshotNeeded;
        long sentAt = mMillis.getAsLong();
        CompletableFuture<RowPage> page =
                whole ? mStore.read(mTable, "") : mStore.pollChanges(mTable, mVersion, waitMillis);
        schedule(mTiming.retryMillis() + (whole ? 0 : waitMillis));
        page.whenComplete(
                (read, failure) -> {
                    boolean waited = !whole && failure == null && read.rows().isEmpty();
                    long at = sentAt + (waited ? waitMillis : 0);
                    mControl.execute(() -> onAnswer(call, at, read, failure, whole));
                });
    }

    /**
     * Handles an answer or a failure of the store. Answers of calls that were superseded are
     * ignored, and others hold as of their call, since they may have waited for this process.
     */
    private void onAnswer(int call, long at, RowPage page, Throwable failure, boolean whole) {
        if (call < mOldestValidCall) {
            return;
        }
        if (failure != null) {
            onFailure(failure);
            return;
        }
        if (mFailures > 0) {
            LOGGER.info("store available again table={} failures={}", mTable, mFailures);
        }
        mFailures = 0;
        mOldestValidCall = mLastCall + 1;
        schedule(mTiming.pauseMillis());
        if (page.version() < mVersion) {
            LOGGER.info(
                    "ignored a page older than the known version table={} known={} read={}",
                    mTable,
                    mVersion,
                    page.version());
            schedule(Math.max(FIRST_RETRY_DELAY_MILLIS, mTiming.pauseMillis()));
            return;
        }
        confirm(true, Math.max(0, mMillis.getAsLong() - at), 0, page.version());
        if (whole) {
            applySnapshot(page.version(), page.rows());
        } else {
            long after = mVersion;
            applyChanges(page.version(), page.rows());
            mPublisher.publish(after, mVersion, mConfirmedAt - mUnbrokenSince, page.rows());
        }
    }

    /**
     * Records that the state is confirmed to be the store's.
     *
     * @param own whether this router read it from the store itself
     * @param ageMillis time since the store confirmed it
     * @param unbrokenMillis time until then for which it had been confirmed without interruption
     * @param version the version that is confirmed
     */
    private void confirm(boolean own, long ageMillis, long unbrokenMillis, long version) {
        long at = mMillis.getAsLong() - ageMillis;
        boolean interrupted = mUncertain && at - mConfirmedAt > mTiming.sharedValidityMillis();
        boolean broken = interrupted || isRestored(version);
        long since = at - unbrokenMillis;
        boolean first = mVersion == 0;
        mUnbrokenSince = broken || first ? since : Math.min(mUnbrokenSince, since);
        mConfirmedAt = Math.max(mConfirmedAt, at);
        mUncertain = false;
        mListener.onConfirmed(own, mConfirmedAt, mUnbrokenSince);
    }

    /**
     * Returns whether a version shows that the store was restored from a backup since the last
     * read.
     */
    private boolean isRestored(long version) {
        return mVersion != StoreVersion.NONE
                && StoreVersion.era(version) > StoreVersion.era(mVersion);
    }

    private void applyChanges(long version, List<Row> rows) {
        mVersion = version;
        for (Row row : rows) {
            if (row.deleted()) {
                mRows.remove(row.key());
            } else {
                mRows.put(row.key(), row);
            }
            mChangedVersion = Math.max(mChangedVersion, row.version());
        }
        mListener.onChanges(rows);
    }

    private void applySnapshot(long version, List<Row> rows) {
        if (isRestored(version)) {
            LOGGER.warn(
                    "store restored from a backup, rows replaced table={} known={}/{} read={}/{}",
                    mTable,
                    StoreVersion.era(mVersion),
                    StoreVersion.number(mVersion),
                    StoreVersion.era(version),
                    StoreVersion.number(version));
            mListener.onRestored();
        }
        mSnapshotNeeded = false;
        mVersion = version;
        mChangedVersion = version;
        mRows.clear();
        rows.forEach(row -> mRows.put(row.key(), row));
        mListener.onSnapshot(rows);
    }

    private void onFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RowStoreException refused
                && refused.reason() == RowStoreException.Reason.HISTORY_GONE) {
            LOGGER.info(
                    "change history not available, reading all rows table={} version={}",
                    mTable,
                    mVersion);
            mSnapshotNeeded = true;
            mOldestValidCall = mLastCall + 1;
            schedule(0);
            return;
        }
        mUncertain = true;
        if (mFailures++ == 0) {
            LOGGER.warn("store unavailable table={} cause={}", mTable, String.valueOf(cause));
            schedule(FIRST_RETRY_DELAY_MILLIS);
        }
        mListener.onStoreUnavailable();
    }
}
