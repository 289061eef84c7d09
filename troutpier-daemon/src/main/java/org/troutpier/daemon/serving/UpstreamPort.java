package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Port through which the router sends calls to upstreams; adapters implement it for a protocol.
 * Called on the traffic loop, as are the listeners. Every call names the upstream's incarnation, so
 * that an address that was reassigned to another upstream never runs it.
 */
public interface UpstreamPort {

    /** Sends a request to be run. */
    Call run(UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener listener);

    /** Prefills a prompt without running the request. */
    Call prefill(
            UpstreamEntry upstream,
            ServingRequest request,
            RunPlan plan,
            ResultListener<StoredPrompt> listener);

    /**
     * Reserves a slot and memory at an engine.
     *
     * @param tokens the memory to reserve
     * @param millis the lifetime of the reservation, milliseconds
     */
    Call reserve(
            UpstreamEntry upstream, long tokens, int millis, ResultListener<Reservation> listener);

    /**
     * Releases a reservation that is not used. A failure is only logged, since the reservation
     * expires by itself.
     */
    void release(UpstreamEntry upstream, Reservation reservation);

    /**
     * Frees the memory of a stored prompt that is not used. A failure is only logged, since the
     * memory expires by itself.
     */
    void discard(StoredPrompt prompt);

    /**
     * Probes whether an upstream's process accepts connections, without sending a request.
     *
     * @param listener receives the result, on the traffic loop
     */
    void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener);

    /** Whether an upstream's process accepts connections. */
    enum ProbeResult {
        /** A connection was accepted. */
        LISTENING,
        /** The upstream's machine answered that nothing listens there. */
        NOT_LISTENING,
        /** No answer: the machine or the network path to it may be down. */
        UNKNOWN
    }

    /** A call in flight. */
    interface Call {

        /** Closes the connection, which cancels the call. Its listener is not called again. */
        void abort();

        /** Sets whether the answer is read from the connection; used for back-pressure. */
        void setAutoRead(boolean on);

        /** Returns whether any byte of the call may have been sent; false only if none was. */
        default boolean mayHaveBeenSent() {
            return true;
        }

        /** Returns how long its connection took to open, milliseconds; 0 if that is not known. */
        default long connectMillis() {
            return 0;
        }

        /**
         * Returns the part of the call's duration for which the upstream is responsible. To open a
         * connection takes a round trip, in which bytes wait at this router's link and event loop
         * as long as those of the request and its answer do, and the upstream does no work.
         *
         * @param millis the duration, from the call to its answer
         * @return milliseconds, at least 1
         */
        default long upstreamMillis(long millis) {
            return Math.max(1, millis - 2 * connectMillis());
        }
    }

    /**
     * Parameters of a run or a prefill. Immutable and thread safe, but for the arrival.
     *
     * @param arrival the call among those of its request
     * @param deadlineMillis time left until the upstream must stop work, milliseconds
     * @param priority the rank; 0 is the most urgent
     * @param prompt the stored prompt, if it was prefilled at another engine
     * @param reservation the slot and memory reserved for the run, if any
     * @param resumeAfter the last event that the caller has received, if a stream is resumed
     * @param stream whether a successful answer is relayed as it comes, and not buffered
     */
    record RunPlan(
            RequestArrivals.Arrival arrival,
            long deadlineMillis,
            int priority,
            Optional<StoredPrompt> prompt,
            Optional<Reservation> reservation,
            OptionalLong resumeAfter,
            boolean stream) {

        /**
         * Creates the parameters of a call whose answer is buffered.
         *
         * @param arrival the call among those of its request
         * @param deadlineMillis time left until the upstream must stop work, milliseconds
         * @param priority the rank; 0 is the most urgent
         */
        public static RunPlan plain(
                RequestArrivals.Arrival arrival, long deadlineMillis, int priority) {
            return new RunPlan(
                    arrival,
                    deadlineMillis,
                    priority,
                    Optional.empty(),
                    Optional.empty(),
                    OptionalLong.empty(),
                    false);
        }

        /**
         * Returns a copy for a call that is sent later.
         *
         * @param millis the time by which it is later, milliseconds
         */
        public RunPlan after(long millis) {
            return new RunPlan(
                    arrival,
                    Math.max(1, deadlineMillis - millis),
                    priority,
                    prompt,
                    reservation,
                    resumeAfter,
                    stream);
        }

        /**
         * Returns a copy with a reservation.
         *
         * @param reserved the reservation, if any
         */
        public RunPlan withReservation(Optional<Reservation> reserved) {
            return new RunPlan(
                    arrival, deadlineMillis, priority, prompt, reserved, resumeAfter, stream);
        }

        /** Returns a copy with a prompt that was prefilled at another engine. */
        public RunPlan withPrompt(StoredPrompt stored) {
            return new RunPlan(
                    arrival,
                    deadlineMillis,
                    priority,
                    Optional.of(stored),
                    reservation,
                    resumeAfter,
                    stream);
        }

        /**
         * Returns a copy for a stream that is resumed.
         *
         * @param lastEvent the last event that the caller has received, if any
         */
        public RunPlan withResumeAfter(OptionalLong lastEvent) {
            return new RunPlan(
                    arrival, deadlineMillis, priority, prompt, reservation, lastEvent, stream);
        }

        /** Returns a copy for a run whose answer is relayed as it comes. */
        public RunPlan asStream() {
            return new RunPlan(
                    arrival, deadlineMillis, priority, prompt, reservation, resumeAfter, true);
        }
    }

    /**
     * A prefilled prompt that is stored at an engine. Immutable and thread safe.
     *
     * @param upstream the engine
     * @param handle identifies the prompt at the engine
     */
    record StoredPrompt(UpstreamEntry upstream, String handle) {}

    /**
     * A slot and memory reserved at an engine. Immutable and thread safe.
     *
     * @param token identifies the reservation at the engine
     */
    record Reservation(String token) {}

    /**
     * Head of an upstream's answer. The headers are mutable but must not be changed.
     *
     * @param status the HTTP status
     * @param headers the headers for the caller, without hop-by-hop headers
     * @param verdict what the head proves about the request
     * @param framed whether the answer has a length or chunks; otherwise it ends with its
     *     connection, as an answer also does whose upstream crashes
     */
    record Head(int status, HttpHeaders headers, Verdict verdict, boolean framed) {}

    /** What the head of an answer proves about the request. */
    enum Verdict {
        /** A success of the upstream for this request. */
        SUCCESS,
        /** An answer of the upstream to this request that is not a success. */
        OWN_FAILURE,
        /** The upstream states that it did not start the request. */
        NOT_STARTED,
        /** Another upstream has the address now; the request was not started. */
        OTHER_UPSTREAM,
        /** The answer belongs to another request or does not come from the upstream. */
        FOREIGN
    }

    /** Receives the notices in an upstream's answers. */
    interface NoticeListener {

        /** Receives the notices of an answer, before anything else of it. */
        default void onNotice(UpstreamNotice notice, Verdict verdict) {}
    }

    /** Receives the answer to a run. */
    interface RunListener extends NoticeListener {

        /** Receives the head. */
        void onHead(Head head);

        /**
         * Receives a part of the body.
         *
         * @param part the bytes, owned by the listener
         */
        void onPart(byte[] part);

        /** Called when the answer is complete, after its last part. */
        void onEnd();

        /** Called if the answer cannot be completed. */
        void onFailure(AttemptEnd end);
    }

    /** Receives the result of a call that does not run a request. */
    interface ResultListener<T> extends NoticeListener {

        /** Receives the result. */
        void onResult(T result);

        /** Called if there is no result. */
        void onFailure(AttemptEnd end);
    }
}
