package org.troutpier.daemon.rows;

import java.util.List;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.daemon.node.Control;
import org.troutpier.daemon.rows.RowStore.Row;
import org.troutpier.daemon.rows.RowStore.RowPage;

/**
 * Follows a table: reads it whole, then its changes, and whole again where the history is gone.
 * Confined to the control thread. Invariants: at most one call is under way; after any failure the
 * follower tries again, waiting longer after each up to {@link #MOST_BACKOFF_MILLIS}.
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
     */
    public record Pace(int waitMillis, long pauseMillis) {}

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
     */
    public TableFollower(
            Control control, RowStore store, String table, Pace pace, Listener listener) {
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

    /** Reads the table whole, or its next changes. */
    private void next() {
        if (mWhole) {
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
        mVersion = Math.max(mVersion, page.version());
        mWhole = false;
        if (whole) {
            mListener.whole(page.rows());
        } else {
            mListener.changed(page.rows());
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
