package org.troutpier.daemon.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tells of dropped log lines: as a gauge, and by a line once there is room again. Confined to the
 * thread that calls {@link #logNewDrops()}; the gauge is thread safe.
 */
public final class DroppedLines {

    /** The gauge's name. */
    public static final String GAUGE = "log.queue-dropped";

    /** Logs how many lines were dropped. */
    private static final Logger LOGGER = LogManager.getLogger(DroppedLines.class);

    /** How many lines were dropped since the process began. */
    private final LongSupplier mDropped;

    /** How many of them were told of. */
    private long mTold;

    /**
     * Registers the gauge.
     *
     * @param metrics where to
     * @param dropped how many lines were dropped since the process began; thread safe
     */
    public DroppedLines(MetricRegistry metrics, LongSupplier dropped) {
        mDropped = dropped;
        metrics.register(GAUGE, (Gauge<Long>) dropped::getAsLong);
    }

    /** Writes a line if more were dropped since the last look. */
    public void logNewDrops() {
        long now = mDropped.getAsLong();
        if (now > mTold) {
            LOGGER.warn("log lines dropped count={} total={}", now - mTold, now);
            mTold = now;
        }
    }
}
