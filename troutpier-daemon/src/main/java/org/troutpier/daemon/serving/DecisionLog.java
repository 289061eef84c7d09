package org.troutpier.daemon.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.event.EventRing;

/**
 * Logs the decisions about requests: one line for each request when it ends, with its steps.
 * Confined to the traffic loop. Invariant: at most {@link #MAX_LINES_PER_SECOND} lines are written
 * per second; lines that are left out are counted.
 */
public final class DecisionLog {

    private static final int MAX_LINES_PER_SECOND = 200;

    /**
     * How many of the lines may report ordinary successes. One serves as an example; counters and
     * histograms cover the rest.
     */
    private static final int MAX_SUCCESS_LINES_PER_SECOND = 1;

    private static final Logger LOGGER = LogManager.getLogger("decision");

    /** Counts lines of ordinary successes that are left out. */
    private final Counter mFoldedLines;

    /** Counts other lines that are left out. */
    private final Counter mDroppedLines;

    private final EventRing mEvents;

    private final TrafficLoop mLoop;

    /** The second to which the line counts below apply. */
    private long mCurrentSecond;

    private int mLines;

    /** The ordinary successes in the current second, logged or not. */
    private int mOrdinary;

    /**
     * Creates a log.
     *
     * @param metrics counts lines that are left out
     * @param events the event history; every request is recorded there
     */
    public DecisionLog(MetricRegistry metrics, EventRing events, TrafficLoop loop) {
        mEvents = events;
        mFoldedLines = metrics.counter("log.folded");
        mDroppedLines = metrics.counter("log.left-out");
        mLoop = loop;
    }

    /** Records the end of a request. */
    public void requestEnded(RequestTrace trace, String outcome) {
        mEvents.record("request " + outcome, trace.id(), trace.steps());
        if (tryWrite(trace.isOrdinarySuccess(outcome))) {
            LOGGER.info(trace.toLogMessage(outcome));
        }
    }

    /**
     * Returns whether a line may be written, and counts it.
     *
     * @param ordinary whether the line reports an ordinary success
     */
    private boolean tryWrite(boolean ordinary) {
        long second = TimeUnit.NANOSECONDS.toSeconds(mLoop.nanos());
        if (second != mCurrentSecond) {
            mCurrentSecond = second;
            mLines = 0;
            mOrdinary = 0;
        }
        if (ordinary && ++mOrdinary > MAX_SUCCESS_LINES_PER_SECOND) {
            mFoldedLines.inc();
            return false;
        }
        if (mLines >= MAX_LINES_PER_SECOND) {
            mDroppedLines.inc();
            return false;
        }
        mLines++;
        return true;
    }
}
