package org.troutpier.daemon.rows;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decorates a store with metrics: counts and times the calls by table. Thread safe if the decorated
 * store is. The time of {@link #pollChanges} includes the wait for a change.
 */
public final class InstrumentedRowStore implements RowStore {

    private final RowStore mStore;

    private final MetricRegistry mMetrics;

    private final LongSupplier mNanos;

    /**
     * Creates a decorator.
     *
     * @param store the store that carries out the calls
     * @param metrics the registry of the metrics
     * @param nanos the monotonic clock, nanoseconds
     */
    public InstrumentedRowStore(RowStore store, MetricRegistry metrics, LongSupplier nanos) {
        mStore = store;
        mMetrics = metrics;
        mNanos = nanos;
    }

    @Override
    public CompletableFuture<RowPage> read(String table, String part) {
        return measured("read", table, mStore.read(table, part));
    }

    @Override
    public CompletableFuture<RowPage> pollChanges(String table, long after, int waitMillis) {
        return measured("feed", table, mStore.pollChanges(table, after, waitMillis));
    }

    @Override
    public CompletableFuture<WriteResult> write(Row row, long expectedVersion) {
        return counted("write", measured("write", row.table(), mStore.write(row, expectedVersion)));
    }

    @Override
    public CompletableFuture<WriteResult> delete(Row row) {
        return counted("drop", measured("drop", row.table(), mStore.delete(row)));
    }

    private CompletableFuture<WriteResult> counted(
            String call, CompletableFuture<WriteResult> result) {
        return result.thenApply(
                write -> {
                    String outcome = write.outcome().name().toLowerCase(Locale.ROOT);
                    mMetrics.counter("store." + call + "." + outcome).inc();
                    return write;
                });
    }

    /** Counts and times a call once it has completed. */
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
