package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs what was decided about requests: one line for each request at its end, with the stages it
 * went through, and counters and histograms of the same. Confined to the traffic loop. Invariant:
 * at most {@link #LINES_PER_SECOND} lines a second; what is left out is counted.
 */
public final class DecisionLog {

    /** How many lines a second are written; failures may use them all, successes half. */
    private static final int LINES_PER_SECOND = 200;

    /** Writes the lines. */
    private static final Logger LOGGER = LogManager.getLogger("decision");

    /** Counts and measures. */
    private final MetricRegistry mMetrics;

    /** The clock. */
    private final TrafficLoop mLoop;

    /** The second that lines are counted in. */
    private long mSecond;

    /** How many lines were written in it. */
    private int mLines;

    /**
     * Creates a log.
     *
     * @param metrics counts and measures
     * @param loop the clock
     */
    public DecisionLog(MetricRegistry metrics, TrafficLoop loop) {
        mMetrics = metrics;
        mLoop = loop;
    }

    /**
     * Records a request's end.
     *
     * @param trace what happened to it
     * @param outcome how it ended
     */
    public void ended(RequestTrace trace, String outcome) {
        boolean well = outcome.equals(RequestTrace.ANSWERED);
        mMetrics.counter("requests." + outcome).inc();
        mMetrics.counter("requests.route." + trace.route() + "." + outcome).inc();
        mMetrics.histogram("requests.millis." + trace.route()).update(trace.elapsedMillis());
        if (admitted(well)) {
            LOGGER.info("request {} outcome={} {}", trace.id(), outcome, trace);
        }
    }

    /**
     * Returns whether a line may be written.
     *
     * @param well whether it tells of a success
     * @return whether to write it
     */
    private boolean admitted(boolean well) {
        long second = TimeUnit.NANOSECONDS.toSeconds(mLoop.nanos());
        if (second != mSecond) {
            mSecond = second;
            mLines = 0;
        }
        if (mLines >= (well ? LINES_PER_SECOND / 2 : LINES_PER_SECOND)) {
            mMetrics.counter("log.dropped").inc();
            return false;
        }
        mLines++;
        return true;
    }
}
