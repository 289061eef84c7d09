package org.troutpier.daemon.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.event.EventRing;

/**
 * Logs what was decided about requests: one line for each request at its end, with the stages it
 * went through. Confined to the traffic loop. Invariant: at most {@link #MAX_LINES_PER_SECOND}
 * lines a second; what is left out is counted.
 */
public final class DecisionLog {

    /** How many lines a second are written at most. */
    private static final int MAX_LINES_PER_SECOND = 200;

    /**
     * How many of them may tell of ordinary successes: enough to see what one looks like. Counters
     * and histograms tell the rest.
     */
    private static final int MAX_SUCCESS_LINES_PER_SECOND = 1;

    /** Writes the lines. */
    private static final Logger LOGGER = LogManager.getLogger("decision");

    /** Counts lines of ordinary successes that are left out. */
    private final Counter mFoldedLines;

    /** Counts other lines that are left out. */
    private final Counter mDroppedLines;

    /** The time line. */
    private final EventRing mEvents;

    /** The clock. */
    private final TrafficLoop mLoop;

    /** The second that lines are counted in. */
    private long mCurrentSecond;

    /** How many lines were written in it. */
    private int mLines;

    /** How many ordinary successes there were in it. */
    private int mOrdinary;

    /**
     * Creates a log.
     *
     * @param metrics counts lines that are left out
     * @param events the time line; each request is put there
     * @param loop the clock
     */
    public DecisionLog(MetricRegistry metrics, EventRing events, TrafficLoop loop) {
        mEvents = events;
        mFoldedLines = metrics.counter("log.folded");
        mDroppedLines = metrics.counter("log.left-out");
        mLoop = loop;
    }

    /**
     * Records a request's end.
     *
     * @param trace what happened to it
     * @param outcome how it ended
     */
    public void requestEnded(RequestTrace trace, String outcome) {
        mEvents.record("request " + outcome, trace.id(), trace.steps());
        if (tryWrite(trace.isOrdinarySuccess(outcome))) {
            LOGGER.info(trace.toLogMessage(outcome));
        }
    }

    /**
     * Returns whether a line may be written.
     *
     * @param ordinary whether it tells of an ordinary success
     * @return whether to write it
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
