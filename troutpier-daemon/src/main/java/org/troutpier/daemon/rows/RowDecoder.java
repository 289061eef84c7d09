package org.troutpier.daemon.rows;

import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.daemon.rows.RowStore.Row;

/**
 * Decodes rows and reports those that cannot be decoded, since other programs may write to the same
 * tables. Each key and version is counted and logged once. Confined to the control thread.
 * Invariant: at most {@link #MAX_LINES} rows are logged in {@link #WINDOW_MILLIS}, however many
 * fail.
 */
public final class RowDecoder {

    /** Enough to see which rows are affected and who writes them. */
    static final int MAX_LINES = 20;

    static final long WINDOW_MILLIS = 10_000;

    /** Number of keys whose reported version is remembered. */
    private static final int MAX_KEYS = 1000;

    /** Longest logged detail, characters: an exception's message may quote a row of 64 KB. */
    private static final int MAX_DETAIL_CHARS = 200;

    private static final Logger LOGGER = LogManager.getLogger(RowDecoder.class);

    private final MetricRegistry mMetrics;

    private final LongSupplier mMillis;

    /** Last reported version by table and key. The oldest entries are evicted. */
    private final Map<String, Long> mReportedVersions =
            new LinkedHashMap<>() {

                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_KEYS;
                }
            };

    private long mWindowStart;

    private int mLines;

    /** Rows that were not logged in the current window. */
    private int mSuppressed;

    /**
     * Creates a decoder.
     *
     * @param metrics the registry that rows are counted in
     * @param millis the monotonic clock, milliseconds
     */
    public RowDecoder(MetricRegistry metrics, LongSupplier millis) {
        mMetrics = metrics;
        mMillis = millis;
        mWindowStart = mMillis.getAsLong();
    }

    /**
     * Decodes a row, or reports that it cannot be decoded.
     *
     * @param <T> the type of the decoded row
     * @param decoder decodes the row; throws if the row is malformed
     * @return the decoded row; empty if the row is malformed
     */
    public <T> Optional<T> decode(Row row, Function<Row, T> decoder) {
        try {
            return Optional.of(decoder.apply(row));
        } catch (RuntimeException exception) {
            report(row, exception);
            return Optional.empty();
        }
    }

    private void report(Row row, Exception fault) {
        Long previous = mReportedVersions.put(row.table() + "/" + row.key(), row.version());
        if (previous != null && previous == row.version()) {
            return;
        }
        mMetrics.counter("rows.unreadable." + row.table()).inc();
        if (mMillis.getAsLong() - mWindowStart >= WINDOW_MILLIS) {
            openWindow();
        }
        if (mLines >= MAX_LINES) {
            mSuppressed++;
            return;
        }
        mLines++;
        LOGGER.warn(
                "cannot decode row table={} key={} version={} bytes={} fault={}",
                row.table(),
                row.key(),
                row.version(),
                row.value().length,
                truncate(String.valueOf(fault.getMessage())));
    }

    /** Starts a window, and logs how many rows the last one left out. */
    private void openWindow() {
        if (mSuppressed > 0) {
            LOGGER.warn("further undecodable rows not logged count={}", mSuppressed);
        }
        mWindowStart = mMillis.getAsLong();
        mLines = 0;
        mSuppressed = 0;
    }

    /** Returns the beginning of a text, on a single line. */
    private static String truncate(String text) {
        String line = text.replace('\n', ' ');
        return line.length() <= MAX_DETAIL_CHARS ? line : line.substring(0, MAX_DETAIL_CHARS);
    }
}
