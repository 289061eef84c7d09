package org.troutpier.daemon.admission;

import java.util.List;
import java.util.Set;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.TroutpierException;

/**
 * One request's wish to start. Immutable and thread safe.
 *
 * @param request the request
 * @param declared its class
 * @param blocks the prompt's prefix blocks; empty for a plain service
 * @param promptTokens the prompt's length; 0 for a plain service
 * @param arrivalNanos when the request arrived, by the monotonic clock
 * @param avoid the upstreams that failed this request before
 * @param answer hears what was decided, on the control thread
 */
public record Ticket(
        RequestId request,
        ClassDeclaration requestClass,
        List<Long> blocks,
        int promptTokens,
        long arrivalNanos,
        Set<UpstreamId> failedUpstreams,
        Listener listener) {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Receives what was decided; both are called on the control thread, one of them once. */
    public interface Listener {

        /**
         * Called when the request may start.
         *
         * @param grant what it may use; must be ended once
         */
        void onGranted(Grant grant);

        /**
         * Called when the request may not start.
         *
         * @param why the code and the detail
         */
        void onRefused(TroutpierException reason);
    }

    /**
     * Returns when the first token is due.
     *
     * @return nanoseconds by the monotonic clock; the deadline where there is no target
     */
    public long dueNanos() {
        int millis =
                requestClass.hasTarget()
                        ? requestClass.firstTokenMillis()
                        : requestClass.deadlineMillis();
        return arrivalNanos + millis * NANOS_PER_MILLI;
    }
}
