package org.troutpier.daemon.rows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Condition;
import org.troutpier.standins.platform.VersionedRows.Key;
import org.troutpier.standins.platform.VersionedRows.Write;

/**
 * A row store in memory; tests can suppress or delay its answers. Confined to the test's thread.
 */
public final class FakeRowStore implements RowStore {

    /** Carries out calls: receives the work of a call and the task that answers it. */
    public BiConsumer<Runnable, Runnable> mCarrier =
            (work, answer) -> {
                work.run();
                answer.run();
            };

    public final VersionedRows mRows;
    private final Queue<CompletableFuture<RowPage>> mUnanswered = new ArrayDeque<>();
    public boolean mAway;

    /** Whether calls are left unanswered. Calls made meanwhile are never answered. */
    public boolean mSilent;

    public FakeRowStore(VersionedRows rows) {
        mRows = rows;
    }

    @Override
    public CompletableFuture<RowPage> read(String table, String part) {
        CompletableFuture<RowPage> future = new CompletableFuture<>();
        if (mSilent) {
            mUnanswered.add(future);
            return future;
        }
        if (mAway) {
            future.completeExceptionally(
                    new RowStoreException(RowStoreException.Reason.REFUSED, "away"));
            return future;
        }
        List<RowPage> pages = new ArrayList<>();
        mCarrier.accept(
                () -> pages.add(page(mRows.read(table, part, "", 1000))),
                () -> answer(future, pages));
        return future;
    }

    @Override
    public CompletableFuture<RowPage> pollChanges(String table, long after, int waitMillis) {
        CompletableFuture<RowPage> future = new CompletableFuture<>();
        if (mSilent) {
            mUnanswered.add(future);
            return future;
        }
        if (mAway) {
            future.completeExceptionally(
                    new RowStoreException(RowStoreException.Reason.REFUSED, "away"));
            return future;
        }
        if (!StoreVersion.isValidIn(after, era())) {
            future.completeExceptionally(
                    new RowStoreException(RowStoreException.Reason.HISTORY_GONE, "another era"));
            return future;
        }
        mRows.changes(table, StoreVersion.number(after))
                .ifPresentOrElse(
                        page -> future.complete(page(page)),
                        () ->
                                future.completeExceptionally(
                                        new RowStoreException(
                                                RowStoreException.Reason.HISTORY_GONE, "")));
        return future;
    }

    @Override
    public CompletableFuture<WriteResult> write(Row row, long expectedVersion) {
        Key key = new Key(row.table(), row.part(), row.key());
        return transact(
                key, expectedVersion, List.of(new Write(key, new String(row.value()))), List.of());
    }

    @Override
    public CompletableFuture<WriteResult> delete(Row row) {
        Key key = new Key(row.table(), row.part(), row.key());
        return transact(key, row.version(), List.of(), List.of(key));
    }

    private CompletableFuture<WriteResult> transact(
            Key key, long expectedVersion, List<Write> writes, List<Key> drops) {
        CompletableFuture<WriteResult> future = new CompletableFuture<>();
        if (mAway || !StoreVersion.isValidIn(expectedVersion, era())) {
            future.complete(new WriteResult(Outcome.NOT_DONE, 0, 0));
            return future;
        }
        List<WriteResult> result = new ArrayList<>();
        mCarrier.accept(
                () -> {
                    boolean held =
                            mRows.transact(
                                    List.of(
                                            new Condition(
                                                    key, StoreVersion.number(expectedVersion))),
                                    writes,
                                    drops);
                    result.add(
                            new WriteResult(
                                    held ? Outcome.WRITTEN : Outcome.CONFLICT,
                                    StoreVersion.ofRow(era(), mRows.version(key)),
                                    0));
                },
                () ->
                        future.complete(
                                result.isEmpty()
                                        ? new WriteResult(Outcome.UNKNOWN, 0, 0)
                                        : result.get(0)));
        return future;
    }

    /** Fails the oldest unanswered call, as its time-out would. */
    public void timeOut() {
        mUnanswered
                .remove()
                .completeExceptionally(
                        new RowStoreException(RowStoreException.Reason.SILENT, "time limit"));
    }

    /**
     * Answers with the rows read; fails the call if it is answered before its work has been done.
     */
    private static void answer(CompletableFuture<RowPage> future, List<RowPage> pages) {
        if (pages.isEmpty()) {
            future.completeExceptionally(
                    new RowStoreException(RowStoreException.Reason.REFUSED, "not read in time"));
        } else {
            future.complete(pages.get(0));
        }
    }

    /** Returns how many times the rows have been restored from a backup. */
    private long era() {
        return mRows.era() - 1;
    }

    private RowPage page(VersionedRows.Page page) {
        return new RowPage(
                page.rows().stream().map(this::row).toList(),
                StoreVersion.of(era(), page.version()),
                0);
    }

    private Row row(VersionedRows.Row row) {
        return new Row(
                row.key().table(),
                row.key().part(),
                row.key().key(),
                row.value().getBytes(),
                StoreVersion.of(era(), row.version()),
                row.deleted());
    }
}
