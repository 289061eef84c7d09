package org.troutpier.daemon.upstream;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.Incarnation;

/**
 * Client of model engines. Implementations are thread safe and complete on an event loop of their
 * own choosing.
 */
public interface EngineClient {

    /**
     * Requests a prefill.
     *
     * @param engine the engine
     * @param request the prefill to run
     * @param timeoutMillis the timeout, milliseconds
     * @param listener receives the result
     * @return aborts the call
     */
    Abort prefill(
            UpstreamDeclaration engine,
            PrefillRequest request,
            int timeoutMillis,
            PrefillListener listener);

    /**
     * Requests a decode.
     *
     * @param engine the engine
     * @param request the decode to run
     * @param timeoutMillis the timeout, milliseconds
     * @param listener receives the stream
     * @return aborts the call
     */
    Abort decode(
            UpstreamDeclaration engine,
            DecodeRequest request,
            int timeoutMillis,
            DecodeListener listener);

    /**
     * Cancels an attempt.
     *
     * @param engine the engine
     * @param attempt the attempt to cancel
     * @return whether the engine confirmed; fails if the engine could not be reached
     */
    CompletableFuture<Boolean> cancel(UpstreamDeclaration engine, String attempt);

    /** Queries the attempts that an engine holds. */
    CompletableFuture<List<HeldAttempt>> heldAttempts(UpstreamDeclaration engine);

    /**
     * Queries the load that an engine publishes.
     *
     * @param engine the engine
     * @return the load, which lags
     */
    CompletableFuture<Load> load(UpstreamDeclaration engine);

    /**
     * Queries the cache events of an engine.
     *
     * @param engine the engine
     * @param since the number of the last event received
     * @return the events, which lag and may have gaps
     */
    CompletableFuture<List<CacheEvent>> cacheEvents(UpstreamDeclaration engine, long since);

    /** Aborts a call. May be called from any thread and more than once. */
    interface Abort {
        /** Aborts the call. */
        void abort();
    }

    /**
     * The parameters of a prefill. Immutable and thread safe.
     *
     * @param attempt the id of this attempt
     * @param owner the router that sends it
     * @param partner the partner whose request it is
     * @param call the caller's own mark, empty for none
     * @param prompt the prompt
     * @param resumeText the text that an earlier attempt generated, empty for a new answer
     * @param resumeTokens the number of tokens in {@code resumeText}
     */
    record PrefillRequest(
            String attempt,
            Incarnation owner,
            String partner,
            String call,
            String prompt,
            String resumeText,
            int resumeTokens) {}

    /**
     * The parameters of a decode. Immutable and thread safe.
     *
     * @param attempt the id of this attempt
     * @param owner the router that sends it
     * @param call the caller's own mark, empty for none
     * @param kvSource the address that serves the KV cache of the prefill, IP:port
     * @param kvHandle the handle of the prefill's KV cache
     * @param maxTokens the maximum number of tokens to generate
     */
    record DecodeRequest(
            String attempt,
            Incarnation owner,
            String call,
            String kvSource,
            String kvHandle,
            int maxTokens) {}

    /** Receives the result of a prefill: exactly one of the two calls, once. */
    interface PrefillListener {

        /**
         * Called on success.
         *
         * @param handle the handle of the KV cache
         * @param lifeMillis how long the engine keeps it, milliseconds
         */
        void onResult(String handle, int lifeMillis);

        /**
         * Called on failure.
         *
         * @param end the failure
         */
        void onPrefillFailure(AttemptEnd end);
    }

    /** Receives a decode stream: tokens, then exactly one of the two ends, once. */
    interface DecodeListener {

        /** Called for each token. */
        void onToken(TokenEvent event);

        /** Called when the stream is complete. */
        void onComplete();

        /**
         * Called when the stream ends before it is complete.
         *
         * @param end the failure
         */
        void onDecodeFailure(AttemptEnd end);
    }

    /**
     * An attempt that an engine holds. Immutable and thread safe.
     *
     * @param attempt the id of the attempt
     * @param owner the router that sent it
     */
    record HeldAttempt(String attempt, String owner) {}

    /**
     * The load that an engine publishes. Immutable and thread safe.
     *
     * @param running the number of requests that the engine holds
     * @param waitingTokens the number of tokens that wait for prefill
     * @param leaving whether the engine is leaving
     */
    record Load(int running, long waitingTokens, boolean leaving) {}

    /**
     * Reports that a block was cached. Immutable and thread safe.
     *
     * @param number the number of the event
     * @param block the id of the block
     */
    record CacheEvent(long number, long block) {}
}
