package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Finds the upstream for the next run of a stream. Implementations are confined to the traffic
 * loop. Invariants: at most one search is in progress; a search that is not released ends with
 * exactly one call of its listener.
 */
interface StreamSearch {

    /**
     * Creates the search of a stream, whose execution receives its outcomes.
     *
     * @param engines the capabilities of the service's engines; empty for a service without engines
     */
    static StreamSearch of(
            StreamExecution execution,
            Optional<EngineTraits> engines,
            EventRelay relay,
            StreamUpstreams upstreams) {
        return engines.isPresent()
                ? new EngineStreamSearch(execution, engines.get(), relay, upstreams, execution)
                : new PlainStreamSearch(execution, upstreams, execution);
    }

    /** Receives the outcome of a search, on the traffic loop. */
    interface Listener {

        /**
         * Called when the run may be sent.
         *
         * @param prompt the stored prefill result; empty where the upstream processes the prompt
         */
        void onReady(UpstreamEntry upstream, Optional<UpstreamPort.StoredPrompt> prompt);

        /**
         * Called when there is no upstream for the run.
         *
         * @param code the result code that fits the last step
         */
        void onNotFound(ResultCode code, String detail);
    }

    /** What a run takes at its upstream, until it is freed once. */
    interface Usage {

        /** Records events that the upstream has written. */
        void grow(long events);

        /** Records that the run has ended. */
        void free();
    }

    /** Returns why no upstream can ever run the request, if none can. */
    Optional<StreamUpstreams.Obstacle> obstacle();

    /** Searches for the first run of the request, or fails at once where none can start in time. */
    void begin();

    /** Searches for another run, with a new wait budget. */
    void beginAgain();

    /**
     * Records a failed run of a stream that may be resumed.
     *
     * @return whether it may be resumed at its upstream, which still has the prompt
     */
    boolean recordLoss(UpstreamEntry upstream, AttemptEnd end);

    /** Searches at the upstream that lost the run's answer and may still have the prompt. */
    void beginAtResumeTarget(AttemptEnd end);

    /** Records how a run failed. */
    void recordFailure(UpstreamEntry upstream, AttemptEnd end);

    /** Keeps a prefill result that no upstream has fetched, for the next run. */
    void keep(UpstreamPort.StoredPrompt prompt);

    /**
     * Adds what the search has reserved for the run to its plan.
     *
     * @return the plan to be sent
     */
    UpstreamPort.RunPlan reserved(UpstreamPort.RunPlan plan);

    /** Hands over what the run that is sent now takes at its upstream. */
    Usage takeUsage();

    /**
     * Records the first event of a run.
     *
     * @param millis the time since the run was sent, milliseconds
     */
    void recordFirstEvent(UpstreamEntry upstream, long millis);

    /**
     * Records a complete run.
     *
     * @param events the events of the stream, over all runs
     * @param millis the duration of the run, milliseconds
     */
    void recordCompletion(long events, long millis);

    /**
     * Records that the request is refused because there is no upstream.
     *
     * @return when its caller should retry, milliseconds
     */
    long recordRefusal();

    /** Ends the search, and releases all that no run uses. */
    void release();
}
