package org.troutpier.daemon.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reports dropped log lines as a gauge, and as a log line once the log queue has room again.
 * Confined to the thread that calls {@link #logNewDrops()}; the gauge is thread safe.
 */
public final class DroppedLines {

    /** The gauge's name. */
    public static final String GAUGE = "log.queue-dropped";

    private static final Logger LOGGER = LogManager.getLogger(DroppedLines.class);

    /** The number of lines dropped since the process started. */
    private final LongSupplier mDropped;

    /** The part of them that was logged. */
    private long mLogged;

    /**
     * Registers the gauge.
     *
     * @param metrics the registry
     * @param dropped returns the number of lines dropped since the process started; thread safe
     */
    public DroppedLines(MetricRegistry metrics, LongSupplier dropped) {
        mDropped = dropped;
        metrics.register(GAUGE, (Gauge<Long>) dropped::getAsLong);
    }

    /** Logs a line if lines were dropped since the last call. */
    public void logNewDrops() {
        long dropped = mDropped.getAsLong();
        if (dropped > mLogged) {
            LOGGER.warn("log lines dropped count={} total={}", dropped - mLogged, dropped);
            mLogged = dropped;
        }
    }
}
