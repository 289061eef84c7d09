package org.troutpier.daemon.plain;

import java.util.List;
import java.util.function.Supplier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;

/**
 * A call that is to be placed at an upstream of a plain service. Immutable.
 *
 * @param service the service
 * @param flow the urgency and the organisation
 * @param elapsedMillis the time since the request arrived, milliseconds
 * @param targetMillis the target latency of the answer, milliseconds
 * @param remainingMillis the time until the deadline, milliseconds
 * @param bytes what is held for the call while it waits
 * @param upstreams the upstreams that may be used, in order of preference; queried again in each
 *     decision
 */
public record PlainCall(
        String service,
        FlowKey flow,
        long elapsedMillis,
        long targetMillis,
        long remainingMillis,
        int bytes,
        Supplier<List<UpstreamEntry>> upstreams) {

    /** Receives the outcome, on the traffic loop. */
    public interface Listener {

        /**
         * Called when the call is to be sent.
         *
         * @param upstreams the upstreams with room, in order of preference; not empty unless no
         *     upstream may be used
         */
        void onAdmitted(List<UpstreamEntry> upstreams);

        /**
         * Called when the call cannot be answered in time.
         *
         * @param detail the reason, with what is known of the upstreams
         * @param retryAfterMillis when the caller should retry, milliseconds
         */
        void onRefused(String detail, long retryAfterMillis);
    }
}
