package org.troutpier.daemon.rows;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A table service with versions, conditions and a change feed. It may come back from a copy that
 * lacks what was written last; all versions here are {@link StoreVersion}s, which rise all the
 * same, and a version of an era before is no condition and no place to go on from. Implementations
 * are thread safe. Reads fail with {@link RowStoreException}; a write tells what is known of it.
 */
public interface RowStore {

    /**
     * Reads all rows of a table's part as of one moment or, where there are many, page by page.
     *
     * @param table the table
     * @param part the part; may be empty
     * @return the rows and the version that a feed goes on from
     */
    CompletableFuture<RowPage> read(String table, String part);

    /**
     * Waits for changes.
     *
     * @param table the table
     * @param after the version after which changes are wanted
     * @param waitMillis how long to wait for the first one
     * @return the changed rows in order; fails with {@link RowStoreException.Reason#HISTORY_GONE}
     *     where the table must be read whole again, as it must in each new era
     */
    CompletableFuture<RowPage> pollChanges(String table, long after, int waitMillis);

    /**
     * Writes a row on the condition that it still has a version.
     *
     * @param row the row with its new value
     * @param expectedVersion the version that it must have; 0 for a row that must not be there
     * @return what is known of the write
     */
    CompletableFuture<WriteResult> write(Row row, long expectedVersion);

    /**
     * Deletes a row on the condition that it still has the version that it has here.
     *
     * @param row the row
     * @return what is known of the deletion
     */
    CompletableFuture<WriteResult> delete(Row row);

    /**
     * A row. Immutable by agreement: the value is not changed.
     *
     * @param table the table
     * @param part the part; may be empty
     * @param key the key
     * @param value the value; empty for a deleted row
     * @param version the version of its last change
     * @param deleted whether the row was deleted
     */
    record Row(
            String table, String part, String key, byte[] value, long version, boolean deleted) {}

    /**
     * Rows and the store's version when they were read. Immutable and thread safe.
     *
     * @param rows the rows
     * @param version the newest version that the rows reflect
     * @param nowMillis the store's steady clock
     */
    record RowPage(List<Row> rows, long version, long nowMillis) {}

    /**
     * What is known of a write. Immutable and thread safe.
     *
     * @param outcome what is known
     * @param version the version written, or the row's version on a conflict; else 0
     * @param nowMillis the store's steady clock when it answered; else 0
     */
    record WriteResult(Outcome outcome, long version, long nowMillis) {}

    /** What is known of a write. */
    enum Outcome {
        /** It took effect. */
        WRITTEN,
        /** Its condition failed; it took no effect. */
        CONFLICT,
        /**
         * It took effect under a version of an era before, which proves nothing of the row that was
         * written over.
         */
        OUTDATED,
        /** The store refused it, or it was not sent; it took no effect. */
        NOT_DONE,
        /** It may have taken effect, now or later. */
        UNKNOWN
    }
}
