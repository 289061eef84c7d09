package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Sends calls to upstreams. Called on the traffic loop; listeners are called there too. Every call
 * names the upstream's incarnation, so that an address that was given to another upstream never
 * runs it.
 */
public interface UpstreamPort {

    /**
     * Sends a request to be run.
     *
     * @param upstream where to
     * @param request the request
     * @param plan what goes with it
     * @param listener receives the answer
     * @return the call, to abort it
     */
    Call run(UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener);

    /**
     * Has a prompt read without running the request.
     *
     * @param upstream where to
     * @param request the request
     * @param plan what goes with it
     * @param listener receives the result
     * @return the call, to abort it
     */
    Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener);

    /**
     * Sets a slot and memory aside at an engine.
     *
     * @param upstream where to
     * @param tokens how much memory
     * @param millis for how long
     * @param listener receives the place, or the refusal
     * @return the call, to abort it
     */
    Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener);

    /**
     * Gives a place back that serves nobody; a failure is logged, the place lapses by itself.
     *
     * @param upstream where it was set aside
     * @param place the place
     */
    void release(UpstreamEntry upstream, Reservation place);

    /**
     * Frees a prompt's memory that serves nobody; a failure is logged, the memory lapses by itself.
     *
     * @param prompt the prompt
     */
    void discard(StoredPrompt prompt);

    /**
     * Asks an upstream whether its process still takes connections; it gets no request.
     *
     * @param upstream the upstream
     * @param listener receives the answer, on the traffic loop
     */
    void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener);

    /** Whether an upstream's process takes connections. */
    enum ProbeResult {
        /** A connection was taken. */
        LISTENING,
        /** The upstream's machine says that nothing listens there. */
        NOT_LISTENING,
        /** Nothing was heard: the machine, or the way to it, may be gone. */
        UNKNOWN
    }

    /** A call under way. */
    interface Call {

        /** Closes the connection, which cancels the call; its listener is not called again. */
        void abort();

        /**
         * Holds the upstream back or lets it go on.
         *
         * @param on whether to read what it sends
         */
        void setAutoRead(boolean on);
    }

    /**
     * What goes with a request to an upstream. Immutable and thread safe.
     *
     * @param deadlineMillis when the upstream is to stop work, from now
     * @param priority the rank, 0 is the most urgent
     * @param prompt where the prompt was read, if elsewhere
     * @param reservation the slot and memory reserved for the run, if any
     * @param resumeAfter the last event that the caller has, where a stream is continued
     */
    record RunPlan(
            long deadlineMillis,
            int priority,
            Optional<StoredPrompt> prompt,
            Optional<Reservation> reservation,
            OptionalLong resumeAfter) {

        /**
         * Makes the plan of a plain call.
         *
         * @param deadlineMillis when the upstream is to stop work, from now
         * @param priority the rank, 0 is the most urgent
         * @return the plan
         */
        public static RunPlan plain(long deadlineMillis, int priority) {
            return new RunPlan(
                    deadlineMillis,
                    priority,
                    Optional.empty(),
                    Optional.empty(),
                    OptionalLong.empty());
        }

        /**
         * Returns the plan with a place.
         *
         * @param taken the place
         * @return a new plan
         */
        public RunPlan withReservation(Optional<Reservation> taken) {
            return new RunPlan(deadlineMillis, priority, prompt, taken, resumeAfter);
        }

        /**
         * Returns the plan with a prompt that was read elsewhere.
         *
         * @param stored the prompt
         * @return a new plan
         */
        public RunPlan withPrompt(StoredPrompt stored) {
            return new RunPlan(
                    deadlineMillis, priority, Optional.of(stored), reservation, resumeAfter);
        }

        /**
         * Returns the plan of a stream that is continued.
         *
         * @param lastEvent the last event that the caller has, if any
         * @return a new plan
         */
        public RunPlan withResumeAfter(OptionalLong lastEvent) {
            return new RunPlan(deadlineMillis, priority, prompt, reservation, lastEvent);
        }
    }

    /**
     * A prompt's memory at the engine that read it. Immutable and thread safe.
     *
     * @param upstream the engine
     * @param handle names the memory there
     */
    record StoredPrompt(UpstreamEntry upstream, String handle) {}

    /**
     * A slot and memory set aside at an engine. Immutable and thread safe.
     *
     * @param token names it there
     */
    record Reservation(String token) {}

    /**
     * The head of an upstream's answer. Immutable by agreement: the headers are not changed.
     *
     * @param status the HTTP status
     * @param headers what goes to the caller; nothing that concerns one connection only
     * @param verdict what the head proves
     */
    record Head(int status, HttpHeaders headers, Verdict verdict) {}

    /** What the head of an answer proves. */
    enum Verdict {
        /** The upstream's own success, for this request. */
        SUCCESS,
        /** The upstream's own answer for this request, not a success. */
        OWN_FAILURE,
        /** The upstream says that it did not start the request. */
        NOT_STARTED,
        /** Another upstream has the address now; the request was not started. */
        OTHER_UPSTREAM,
        /** Not this request's answer, or no answer of the upstream. */
        FOREIGN
    }

    /** Receives what an upstream announces in its answers. */
    interface NoticeListener {

        /**
         * Receives what an answer announces of its upstream, before anything else of it.
         *
         * @param notice what the answer announces
         * @param verdict what its head proves
         */
        default void onNotice(UpstreamNotice notice, Verdict verdict) {}
    }

    /** Receives the answer to a run. */
    interface RunListener extends NoticeListener {

        /**
         * Receives the head.
         *
         * @param head the head
         */
        void onHead(Head head);

        /**
         * Receives a part of the body.
         *
         * @param part the bytes, owned by the listener
         */
        void onPart(byte[] part);

        /** Called when the answer is whole. */
        void onEnd();

        /**
         * Called when there will be no whole answer.
         *
         * @param end what is known
         */
        void onFailure(AttemptEnd end);
    }

    /**
     * Receives the result of a call that runs nothing.
     *
     * @param <T> the result's type
     */
    interface ResultListener<T> extends NoticeListener {

        /**
         * Receives the result.
         *
         * @param result the result
         */
        void onResult(T result);

        /**
         * Called when there is none.
         *
         * @param end what is known
         */
        void onFailure(AttemptEnd end);
    }
}
