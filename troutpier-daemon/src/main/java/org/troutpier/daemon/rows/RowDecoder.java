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
 * Tells of rows that cannot be read, as another writer may leave them in any table: one log line
 * for each key and version, and a counter. Confined to the control thread. Invariant: there are
 * {@link #MOST_LINES} lines at most in {@link #WINDOW_MILLIS}, however many rows there are.
 */
public final class RowDecoder {

    /** How many lines are logged in a window: enough to see who writes what. */
    static final int MOST_LINES = 20;

    /** How long a window lasts, milliseconds. */
    static final long WINDOW_MILLIS = 10_000;

    /** Of how many keys it is remembered that they were told of. */
    private static final int MOST_KEYS = 1000;

    /** How much of what is wrong is told, characters: it may quote a row of 64 KB. */
    private static final int MOST_DETAIL = 200;

    /** Logs the rows. */
    private static final Logger LOGGER = LogManager.getLogger(RowDecoder.class);

    /** Counts the rows. */
    private final MetricRegistry mMetrics;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** Which version was told of, by table and key; the oldest are forgotten. */
    private final Map<String, Long> mTold =
            new LinkedHashMap<>() {

                /** Serial version, as every throwable and collection has one. */
                private static final long serialVersionUID = 1L;

                /** {@inheritDoc} */
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MOST_KEYS;
                }
            };

    /** When the window began, milliseconds. */
    private long mWindowBegan;

    /** How many lines were logged in the window. */
    private int mLines;

    /** How many rows were not told of in the window. */
    private int mUntold;

    /**
     * Creates a teller.
     *
     * @param metrics counts the rows
     * @param millis the monotonic clock, milliseconds
     */
    public RowDecoder(MetricRegistry metrics, LongSupplier millis) {
        mMetrics = metrics;
        mMillis = millis;
        mWindowBegan = mMillis.getAsLong();
    }

    /**
     * Reads a row, or tells of it.
     *
     * @param <T> what it says
     * @param row the row
     * @param reader reads it; throws where another writer left it
     * @return what it says, or empty where it cannot be read
     */
    public <T> Optional<T> decode(Row row, Function<Row, T> reader) {
        try {
            return Optional.of(reader.apply(row));
        } catch (RuntimeException exception) {
            unreadable(row, exception);
            return Optional.empty();
        }
    }

    /**
     * Takes a row that cannot be read.
     *
     * @param row the row
     * @param fault what is wrong with it
     */
    private void unreadable(Row row, Exception fault) {
        Long before = mTold.put(row.table() + "/" + row.key(), row.version());
        if (before != null && before == row.version()) {
            return;
        }
        mMetrics.counter("rows.unreadable." + row.table()).inc();
        if (mMillis.getAsLong() - mWindowBegan >= WINDOW_MILLIS) {
            openWindow();
        }
        if (mLines >= MOST_LINES) {
            mUntold++;
            return;
        }
        mLines++;
        LOGGER.warn(
                "row not readable table={} key={} version={} bytes={} fault={}",
                row.table(),
                row.key(),
                row.version(),
                row.value().length,
                cut(String.valueOf(fault.getMessage())));
    }

    /** Begins a window, and tells how many rows were not told of in the one before. */
    private void openWindow() {
        if (mUntold > 0) {
            LOGGER.warn("rows not readable and not told of count={}", mUntold);
        }
        mWindowBegan = mMillis.getAsLong();
        mLines = 0;
        mUntold = 0;
    }

    /**
     * Cuts a text that may be long.
     *
     * @param text the text
     * @return its beginning, on one line
     */
    private static String cut(String text) {
        String line = text.replace('\n', ' ');
        return line.length() <= MOST_DETAIL ? line : line.substring(0, MOST_DETAIL);
    }
}
