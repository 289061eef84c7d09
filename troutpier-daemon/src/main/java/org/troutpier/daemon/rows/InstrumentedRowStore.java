package org.troutpier.daemon.rows;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts and times the calls to another store, by table. Thread safe if the other is. A waiting
 * read counts as long as it waits.
 */
public final class InstrumentedRowStore implements RowStore {

    /** The other store. */
    private final RowStore mStore;

    /** Keeps the figures. */
    private final MetricRegistry mMetrics;

    /** The monotonic clock, nanoseconds. */
    private final LongSupplier mNanos;

    /**
     * Creates a store.
     *
     * @param store the other store
     * @param metrics keeps the figures
     * @param nanos the monotonic clock, nanoseconds
     */
    public InstrumentedRowStore(RowStore store, MetricRegistry metrics, LongSupplier nanos) {
        mStore = store;
        mMetrics = metrics;
        mNanos = nanos;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<RowPage> read(String table, String part) {
        return measured("read", table, mStore.read(table, part));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<RowPage> pollChanges(String table, long after, int waitMillis) {
        return measured("feed", table, mStore.pollChanges(table, after, waitMillis));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<WriteResult> write(Row row, long expectedVersion) {
        return counted("write", measured("write", row.table(), mStore.write(row, expectedVersion)));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<WriteResult> delete(Row row) {
        return counted("drop", measured("drop", row.table(), mStore.delete(row)));
    }

    /**
     * Counts what became of a write.
     *
     * @param call what it does
     * @param result its result
     * @return the same result
     */
    private CompletableFuture<WriteResult> counted(
            String call, CompletableFuture<WriteResult> result) {
        return result.thenApply(
                write -> {
                    String outcome = write.outcome().name().toLowerCase(Locale.ROOT);
                    mMetrics.counter("store." + call + "." + outcome).inc();
                    return write;
                });
    }

    /**
     * Measures a call.
     *
     * @param <T> the result's type
     * @param call what it does
     * @param table the table
     * @param result its result
     * @return the same result
     */
    private <T> CompletableFuture<T> measured(
            String call, String table, CompletableFuture<T> result) {
        long start = mNanos.getAsLong();
        String name = "store." + call + "." + table;
        return result.whenComplete(
                (value, failure) -> {
                    mMetrics.counter(name + (failure == null ? ".answered" : ".failed")).inc();
                    mMetrics.histogram(name + ".millis")
                            .update(TimeUnit.NANOSECONDS.toMillis(mNanos.getAsLong() - start));
                });
    }
}
