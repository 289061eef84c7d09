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
import org.troutpier.daemon.node.Control;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;

/**
 * Follows a table: reads it whole, then its changes, and whole again where the history is gone.
 * Confined to the control thread. Invariants: a call that is not answered soon is not waited for,
 * the next is made beside it, and the first answer counts; after any failure the follower tries
 * again; what is told never goes back behind what was told before. A router that the store does not
 * answer asks another for the table ({@link ChangePublisher#requestTable}), and each tells with the
 * table for how long it has been read without a break.
 */
public final class TableFollower {

    /** How long to wait after the first failure, milliseconds. */
    private static final long FIRST_RETRY_MILLIS = 100;

    /**
     * Within which time routers read a table whole that learn from each other that the store came
     * back from a copy, milliseconds.
     */
    private static final long RESTORED_SPREAD_MILLIS = 300;

    /** How long a call waits for a change while the store may be away, milliseconds. */
    private static final int PROBE_MILLIS = 1;

    /** Logs loss and return of the store. */
    private static final Logger LOGGER = LogManager.getLogger(TableFollower.class);

    /** The control thread. */
    private final Control mControl;

    /** The store. */
    private final RowStore mStore;

    /** The table. */
    private final String mTable;

    /** How the table is followed. */
    private final PollTiming mPace;

    /** Receives what is read, on the control thread. */
    private final Listener mListener;

    /** Shares what is read. */
    private final ChangePublisher mSharer;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** The table's rows by key, to be told to others. */
    private final Map<String, Row> mRows = new HashMap<>();

    /** Before when no call is needed, milliseconds on the monotonic clock. */
    private long mNotBefore;

    /** The version that was read last. */
    private long mVersion;

    /** The version of the last change of a row, or of the whole table that was read after it. */
    private long mChangedVersion;

    /** Whether the table must be read whole. */
    private boolean mWhole = true;

    /** Failures since the last answer of the store; read by any thread. */
    private volatile int mFailures;

    /** The number of the last call. */
    private int mCall;

    /** The number of the oldest call whose answer still counts. */
    private int mOldestCall = 1;

    /** The number of the next turn: only the one that was planned last is taken. */
    private int mTurn;

    /** Whether a call has failed or was not answered soon since the table was last known. */
    private boolean mDoubtful;

    /** When the table was last known to be the store's, milliseconds on the monotonic clock. */
    private long mKnownAt;

    /** Since when it has been known without a break, milliseconds on the monotonic clock. */
    private long mUnbrokenSince;

    /**
     * How a table is followed. Immutable and thread safe.
     *
     * @param waitMillis how long one call waits for a change
     * @param pauseMillis how long to pause between calls
     * @param sharedValidityMillis how long after a page that another router shared no call is
     *     needed, and how old knowledge may be that is told to another; 0 where none is shared
     * @param retryMillis how long a call is waited for, beyond what it waits for a change, before
     *     the next is made beside it
     */
    public record PollTiming(
            int waitMillis, long pauseMillis, long sharedValidityMillis, long retryMillis) {}

    /** Shares with other routers what this one read itself, and asks them. */
    public interface ChangePublisher {

        /** Stands for a version before any other. */
        long NO_VERSION = -1;

        /**
         * Receives changes.
         *
         * @param after the version after which they came
         * @param version the newest version that they reflect
         * @param unbrokenMillis for how long the table has been read without a break
         * @param rows all changed rows, also those that say nothing new to this router: another may
         *     have missed what was between; may be empty
         */
        void publish(long after, long version, long unbrokenMillis, List<Row> rows);

        /**
         * Called when the store does not answer: another router that it answers is asked for the
         * table, to be taken with {@link TableFollower#applyPeerState}.
         *
         * @param version the newest version that this router knows; {@link #NO_VERSION} where it
         *     needs the whole table
         */
        default void requestTable(long version) {}
    }

    /** Receives what is read, on the control thread. */
    public interface Listener {

        /**
         * Called before what is read, and where nothing has changed: the table is known to be the
         * store's now.
         *
         * @param own whether this router read it itself
         * @param since since when it has been known without a break, by this router or the one that
         *     told it, milliseconds on the monotonic clock
         */
        default void onConfirmed(boolean own, long since) {}

        /**
         * Called before the whole table is received where the store has come back from a copy: what
         * was written to it last may be missing, and rows that were deleted may be back.
         */
        default void onRestored() {}

        /**
         * Receives the whole table.
         *
         * @param rows all rows
         */
        void onSnapshot(List<Row> rows);

        /**
         * Receives changes.
         *
         * @param rows the changed rows in order; may be empty
         */
        void onChanges(List<Row> rows);

        /** Called when the store cannot be read. */
        void onStoreUnavailable();
    }

    /**
     * Creates a follower.
     *
     * @param control the control thread
     * @param store the store
     * @param table the table
     * @param pace how the table is followed
     * @param listener receives what is read, on the control thread
     * @param sharer shares what is read
     * @param millis the monotonic clock, milliseconds
     */
    public TableFollower(
            Control control,
            RowStore store,
            String table,
            PollTiming pace,
            Listener listener,
            ChangePublisher sharer,
            LongSupplier millis) {
        mSharer = sharer;
        mMillis = millis;
        mNotBefore = mMillis.getAsLong();
        mKnownAt = mMillis.getAsLong();
        mControl = control;
        mStore = store;
        mTable = table;
        mPace = pace;
        mListener = listener;
    }

    /** Starts to follow. */
    public void start() {
        plan(0);
    }

    /**
     * Returns whether the store answered the last call that is over. Thread safe.
     *
     * @return whether it did; true before the first
     */
    public boolean isStoreAvailable() {
        return mFailures == 0;
    }

    /**
     * Takes changes that another router read. They count only where nothing is missing before them
     * and they are not older than what is known; then no call is needed for a while.
     *
     * @param after the version after which they came
     * @param version the newest version that they reflect
     * @param unbrokenMillis for how long the other has read the table without a break
     * @param rows the changed rows
     */
    public void applyShared(long after, long version, long unbrokenMillis, List<Row> rows) {
        if (StoreVersion.era(version) > StoreVersion.era(mVersion) && !mWhole) {
            mWhole = true;
            plan(ThreadLocalRandom.current().nextLong(RESTORED_SPREAD_MILLIS));
        }
        if (mWhole || after > mVersion || version < mVersion) {
            return;
        }
        known(false, 0, unbrokenMillis, version);
        if (version > mVersion) {
            take(version, rows);
        }
        mNotBefore = mMillis.getAsLong() + mPace.sharedValidityMillis();
    }

    /**
     * Returns what this router can tell another whom the store does not answer.
     *
     * @param version the newest version that the other knows
     * @return the table, or empty where this router does not know it well enough itself
     */
    public Optional<TableState> stateSince(long version) {
        long age = mMillis.getAsLong() - mKnownAt;
        if (mWhole || age > mPace.sharedValidityMillis()) {
            return Optional.empty();
        }
        boolean whole = mChangedVersion > version;
        return Optional.of(
                new TableState(
                        mVersion,
                        age,
                        mKnownAt - mUnbrokenSince,
                        whole,
                        whole ? List.copyOf(mRows.values()) : List.of()));
    }

    /**
     * Takes the table as another router told it, unless this one knows a newer state.
     *
     * @param state the table
     */
    public void applyPeerState(TableState state) {
        if (state.version() < mVersion || mWhole && !state.whole()) {
            return;
        }
        known(false, state.ageMillis(), state.unbrokenMillis(), state.version());
        if (state.whole()) {
            takeWhole(state.version(), state.rows());
        } else {
            mVersion = state.version();
        }
    }

    /**
     * Plans the next turn in place of any that was planned before.
     *
     * @param millis how much later
     */
    private void plan(long millis) {
        int turn = ++mTurn;
        mControl.later(
                () -> {
                    if (turn == mTurn) {
                        next();
                    }
                },
                millis);
    }

    /**
     * Reads the table whole, or its next changes, unless another router's page made it needless.
     */
    private void next() {
        long early = mNotBefore - mMillis.getAsLong();
        if (!mWhole && early > 0) {
            plan(early);
            return;
        }
        boolean unanswered = mCall >= mOldestCall;
        if (unanswered) {
            mDoubtful = true;
            mSharer.requestTable(mWhole ? ChangePublisher.NO_VERSION : mVersion);
        }
        call(unanswered ? PROBE_MILLIS : mPace.waitMillis());
    }

    /**
     * Calls the store, and plans the next call in case that this one is not answered soon.
     *
     * @param waitMillis how long the call waits for a change
     */
    private void call(int waitMillis) {
        int call = ++mCall;
        boolean whole = mWhole;
        CompletableFuture<RowPage> page =
                whole ? mStore.read(mTable, "") : mStore.pollChanges(mTable, mVersion, waitMillis);
        plan(mPace.retryMillis() + (whole ? 0 : waitMillis));
        page.whenComplete(
                (read, failure) -> mControl.execute(() -> heard(call, read, failure, whole)));
    }

    /**
     * Takes an answer.
     *
     * @param call the call's number
     * @param page what was read, or null
     * @param failure why nothing was read, or null
     * @param whole whether the table was read whole
     */
    private void heard(int call, RowPage page, Throwable failure, boolean whole) {
        if (call < mOldestCall) {
            return;
        }
        if (failure != null) {
            failed(failure);
            return;
        }
        if (mFailures > 0) {
            LOGGER.info("store regained table={} failures={}", mTable, mFailures);
        }
        mFailures = 0;
        mOldestCall = mCall + 1;
        plan(mPace.pauseMillis());
        if (page.version() < mVersion) {
            LOGGER.info("older page table={} known={} read={}", mTable, mVersion, page.version());
            plan(Math.max(FIRST_RETRY_MILLIS, mPace.pauseMillis()));
            return;
        }
        known(true, 0, 0, page.version());
        if (whole) {
            takeWhole(page.version(), page.rows());
        } else {
            long after = mVersion;
            take(page.version(), page.rows());
            mSharer.publish(after, mVersion, mKnownAt - mUnbrokenSince, page.rows());
        }
    }

    /**
     * Takes note that the table is known to be the store's.
     *
     * @param own whether this router read it itself
     * @param ageMillis how long ago that was
     * @param unbrokenMillis for how long it had been known without a break there
     * @param version the version at which it is known
     */
    private void known(boolean own, long ageMillis, long unbrokenMillis, long version) {
        long at = mMillis.getAsLong() - ageMillis;
        boolean away = mDoubtful && at - mKnownAt > mPace.sharedValidityMillis();
        boolean broken = away || restored(version);
        long since = at - unbrokenMillis;
        boolean first = mVersion == 0;
        mUnbrokenSince = broken || first ? since : Math.min(mUnbrokenSince, since);
        mKnownAt = Math.max(mKnownAt, at);
        mDoubtful = false;
        mListener.onConfirmed(own, mUnbrokenSince);
    }

    /**
     * Returns whether the store has come back from a copy since the table was read last.
     *
     * @param version the version at which it is read now
     * @return whether that is of a later era
     */
    private boolean restored(long version) {
        return mVersion != StoreVersion.NONE
                && StoreVersion.era(version) > StoreVersion.era(mVersion);
    }

    /**
     * Takes changes.
     *
     * @param version the newest version that they reflect
     * @param rows the changed rows in order
     */
    private void take(long version, List<Row> rows) {
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

    /**
     * Takes the whole table.
     *
     * @param version the version at which it was so
     * @param rows all rows
     */
    private void takeWhole(long version, List<Row> rows) {
        if (restored(version)) {
            LOGGER.warn(
                    "store came back from a copy table={} known={}/{} read={}/{}",
                    mTable,
                    StoreVersion.era(mVersion),
                    StoreVersion.number(mVersion),
                    StoreVersion.era(version),
                    StoreVersion.number(version));
            mListener.onRestored();
        }
        mWhole = false;
        mVersion = version;
        mChangedVersion = version;
        mRows.clear();
        rows.forEach(row -> mRows.put(row.key(), row));
        mListener.onSnapshot(rows);
    }

    /**
     * Takes a failure.
     *
     * @param failure why nothing was read
     */
    private void failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RowStoreException refused
                && refused.reason() == RowStoreException.Reason.HISTORY_GONE) {
            LOGGER.info("history gone table={} version={}", mTable, mVersion);
            mWhole = true;
            mOldestCall = mCall + 1;
            plan(0);
            return;
        }
        mDoubtful = true;
        if (mFailures++ == 0) {
            LOGGER.warn("store lost table={} cause={}", mTable, String.valueOf(cause));
            plan(FIRST_RETRY_MILLIS);
        }
        mListener.onStoreUnavailable();
    }
}
