package org.troutpier.common.logging;

import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy;
import org.apache.logging.log4j.core.async.EventRoute;

/**
 * Drops and counts the lines for which the queue before standard output has no room, so that nobody
 * ever waits for a log. Named in {@code log4j2.component.properties}. Thread safe. Invariant: each
 * line that is not written is counted.
 */
public final class DropWhenFull implements AsyncQueueFullPolicy {

    /** How many lines were dropped since the process began. */
    private static final LongAdder DROPPED = new LongAdder();

    /**
     * Returns how many lines were dropped since the process began.
     *
     * @return the count
     */
    public static long droppedCount() {
        return DROPPED.sum();
    }

    /** {@inheritDoc} */
    @Override
    public EventRoute getRoute(long backgroundThreadId, Level level) {
        DROPPED.increment();
        return EventRoute.DISCARD;
    }
}
