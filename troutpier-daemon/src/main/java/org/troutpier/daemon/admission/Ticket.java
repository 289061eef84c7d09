package org.troutpier.daemon.admission;

import java.util.List;
import java.util.Set;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.TroutpierException;

/**
 * A request that waits for admission. Immutable and thread safe.
 *
 * @param request id of the request
 * @param requestClass class of the request
 * @param blocks ids of the prefix blocks of the prompt; empty for a plain service
 * @param promptTokens length of the prompt; 0 for a plain service
 * @param arrivalNanos time of arrival on the monotonic clock
 * @param failedUpstreams upstreams that failed this request before
 * @param listener receives the decision, on the control thread
 */
public record Ticket(
        RequestId request,
        ClassDeclaration requestClass,
        List<Long> blocks,
        int promptTokens,
        long arrivalNanos,
        Set<UpstreamId> failedUpstreams,
        Listener listener) {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Receives the decision on a ticket. One of the methods is called, once, on the control thread;
     * none if the ticket is withdrawn before the decision.
     */
    public interface Listener {

        /**
         * Called when the request may start.
         *
         * @param grant what it may use; must be released once
         */
        void onGranted(Grant grant);

        /**
         * Called when the request is refused.
         *
         * @param reason code and detail of the refusal
         */
        void onRefused(TroutpierException reason);
    }

    /**
     * Returns the time at which the first token is due on the monotonic clock; the deadline if the
     * request class has no first-token target.
     */
    public long dueNanos() {
        int millis =
                requestClass.hasTarget()
                        ? requestClass.firstTokenMillis()
                        : requestClass.deadlineMillis();
        return arrivalNanos + millis * NANOS_PER_MILLI;
    }
}
