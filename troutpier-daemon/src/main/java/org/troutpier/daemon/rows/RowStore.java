package org.troutpier.daemon.rows;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A table service with versioned rows, conditional writes and a change feed. The service may be
 * restored from a backup that lacks the latest writes. Versions are {@link StoreVersion}s, which
 * keep increasing across a restore; a version of an earlier era is valid neither as a condition nor
 * as a position in the feed. Implementations are thread safe. Reads fail with {@link
 * RowStoreException}; a write does not fail but reports its outcome as far as it is known.
 */
public interface RowStore {

    /**
     * Reads all rows in a part of a table. The rows are a snapshot or, if they are many, are read
     * page by page.
     *
     * @param part the part; may be empty
     * @return the rows, and the version from which the feed continues
     */
    CompletableFuture<RowPage> read(String table, String part);

    /**
     * Waits for changes to a table.
     *
     * @param after the version after which changes are returned
     * @param waitMillis how long to wait for the first change, milliseconds
     * @return the changed rows in order; fails with {@link RowStoreException.Reason#HISTORY_GONE}
     *     if the whole table must be read again, as in each new era
     */
    CompletableFuture<RowPage> pollChanges(String table, long after, int waitMillis);

    /**
     * Writes a row if its version has not changed.
     *
     * @param row the row with its new value
     * @param expectedVersion the version that the row must have; 0 if the row must not exist
     */
    CompletableFuture<WriteResult> write(Row row, long expectedVersion);

    /**
     * Deletes a row if its version has not changed.
     *
     * @param row the row with the version that it must have
     */
    CompletableFuture<WriteResult> delete(Row row);

    /**
     * A row. Immutable by convention: the value must not be modified.
     *
     * @param part the part; may be empty
     * @param value the value; empty for a deleted row
     * @param version the version of the row's last change
     * @param deleted whether the row has been deleted
     */
    record Row(
            String table, String part, String key, byte[] value, long version, boolean deleted) {}

    /**
     * Rows as they were read. Immutable and thread safe.
     *
     * @param version the newest version that the rows reflect
     * @param nowMillis the store's steady clock, milliseconds
     */
    record RowPage(List<Row> rows, long version, long nowMillis) {}

    /**
     * What is known about a write. Immutable and thread safe.
     *
     * @param version the version written or, on a conflict, the version of the row; otherwise 0
     * @param nowMillis the store's steady clock when it answered, milliseconds; otherwise 0
     */
    record WriteResult(Outcome outcome, long version, long nowMillis) {}

    /** Outcome of a write. */
    enum Outcome {
        /** The write took effect. */
        WRITTEN,
        /** The condition failed; the write had no effect. */
        CONFLICT,
        /**
         * The write took effect, but its condition was a version of an earlier era, which proves
         * nothing about the row that was overwritten.
         */
        OUTDATED,
        /** The store rejected the write, or it was not sent; it had no effect. */
        NOT_DONE,
        /** The write may have taken effect, or may still do so. */
        UNKNOWN
    }
}
