package org.troutpier.daemon.rows;

import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.daemon.node.Control;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;

/**
 * Follows a table: reads it whole, then its changes, and whole again where the history is gone.
 * Confined to the control thread. Invariants: at most one call is under way; after any failure the
 * follower tries again, waiting longer after each up to {@link #MOST_BACKOFF_MILLIS}; what is told
 * never goes back behind what was told before.
 */
public final class TableFollower {

    /** How long to wait after the first failure, milliseconds. */
    private static final long FIRST_BACKOFF_MILLIS = 100;

    /** How long to wait after many failures, milliseconds: well under the users' bound of 2 s. */
    private static final long MOST_BACKOFF_MILLIS = 500;

    /** Logs loss and return of the store. */
    private static final Logger LOGGER = LogManager.getLogger(TableFollower.class);

    /** The control thread. */
    private final Control mControl;

    /** The store. */
    private final RowStore mStore;

    /** The table. */
    private final String mTable;

    /** How the table is followed. */
    private final Pace mPace;

    /** Receives what is read, on the control thread. */
    private final Listener mListener;

    /** Shares what is read. */
    private final Sharer mSharer;

    /** The monotonic clock, nanoseconds. */
    private final LongSupplier mNanos;

    /** Before when no call is needed, nanoseconds on the monotonic clock. */
    private long mNotBefore;

    /** The version that was read last. */
    private long mVersion;

    /** Whether the table must be read whole. */
    private boolean mWhole = true;

    /** Failures since the last answer. */
    private int mFailures;

    /**
     * How a table is followed. Immutable and thread safe.
     *
     * @param waitMillis how long one call waits for a change
     * @param pauseMillis how long to pause between calls
     * @param sharedMillis how long after a page that another router shared no call is needed; 0
     *     where none are shared
     */
    public record Pace(int waitMillis, long pauseMillis, long sharedMillis) {}

    /** Receives changes that this router read itself, to share them with others. */
    public interface Sharer {

        /** Shares nothing. */
        Sharer NONE = (after, version, rows) -> {};

        /**
         * Receives changes.
         *
         * @param after the version after which they came
         * @param version the newest version that they reflect
         * @param rows all changed rows, also those that say nothing new to this router: another may
         *     have missed what was between; may be empty
         */
        void read(long after, long version, List<Row> rows);
    }

    /** Receives what is read, on the control thread. */
    public interface Listener {

        /**
         * Receives the whole table.
         *
         * @param rows all rows
         */
        void whole(List<Row> rows);

        /**
         * Receives changes.
         *
         * @param rows the changed rows in order; may be empty
         */
        void changed(List<Row> rows);

        /** Called when the store cannot be read. */
        void lost();
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
     * @param nanos the monotonic clock, nanoseconds
     */
    public TableFollower(
            Control control,
            RowStore store,
            String table,
            Pace pace,
            Listener listener,
            Sharer sharer,
            LongSupplier nanos) {
        mSharer = sharer;
        mNanos = nanos;
        mNotBefore = nanos.getAsLong();
        mControl = control;
        mStore = store;
        mTable = table;
        mPace = pace;
        mListener = listener;
    }

    /** Starts to follow. */
    public void start() {
        mControl.execute(this::next);
    }

    /**
     * Takes changes that another router read. They count only where nothing is missing before them
     * and they are not older than what is known; then no call is needed for a while.
     *
     * @param after the version after which they came
     * @param version the newest version that they reflect
     * @param rows the changed rows
     */
    public void shared(long after, long version, List<Row> rows) {
        if (mWhole || after > mVersion || version < mVersion) {
            return;
        }
        if (version > mVersion) {
            mVersion = version;
            mListener.changed(rows);
        }
        mNotBefore = mNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(mPace.sharedMillis());
    }

    /**
     * Reads the table whole, or its next changes, unless another router's page made it needless.
     */
    private void next() {
        long early = TimeUnit.NANOSECONDS.toMillis(mNotBefore - mNanos.getAsLong());
        if (!mWhole && early > 0) {
            mControl.later(this::next, early);
        } else if (mWhole) {
            mStore.read(mTable, "")
                    .whenComplete(
                            (page, failure) -> mControl.execute(() -> heard(page, failure, true)));
        } else {
            mStore.feed(mTable, mVersion, mPace.waitMillis())
                    .whenComplete(
                            (page, failure) -> mControl.execute(() -> heard(page, failure, false)));
        }
    }

    /**
     * Takes an answer.
     *
     * @param page what was read, or null
     * @param failure why nothing was read, or null
     * @param whole whether the table was read whole
     */
    private void heard(RowPage page, Throwable failure, boolean whole) {
        if (failure != null) {
            failed(failure);
            return;
        }
        if (mFailures > 0) {
            LOGGER.info("store regained table={} failures={}", mTable, mFailures);
        }
        mFailures = 0;
        long after = mVersion;
        mVersion = Math.max(mVersion, page.version());
        mWhole = false;
        if (whole) {
            mListener.whole(page.rows());
        } else if (page.version() >= after) {
            mListener.changed(page.rows());
            mSharer.read(after, mVersion, page.rows());
        }
        mControl.later(this::next, mPace.pauseMillis());
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
            mVersion = 0;
            mControl.execute(this::next);
            return;
        }
        if (mFailures++ == 0) {
            LOGGER.warn("store lost table={} cause={}", mTable, String.valueOf(cause));
        }
        mListener.lost();
        long backoff = Math.min(MOST_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS * mFailures);
        mControl.later(this::next, backoff);
    }
}
