package org.troutpier.common.logging;

import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.async.AsyncQueueFullPolicy;
import org.apache.logging.log4j.core.async.EventRoute;

/**
 * Drops and counts log lines while the queue is full, so that logging never blocks. Named in {@code
 * log4j2.component.properties}. Thread safe. Invariant: each dropped line is counted.
 */
public final class DropWhenFull implements AsyncQueueFullPolicy {

    /** How many lines were dropped since the process began. */
    private static final LongAdder DROPPED = new LongAdder();

    /** Returns how many lines were dropped since the process began. */
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
