package org.troutpier.daemon.upstream;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.Incarnation;

/**
 * What the router asks of model engines. Implementations are thread safe and answer on an event
 * loop of their own choosing.
 */
public interface EngineClient {

    /**
     * Asks for a prefill.
     *
     * @param engine the engine
     * @param order what to prefill
     * @param timeoutMillis when to give up
     * @param listener hears what came of it
     * @return the way to abort
     */
    Abort prefill(
            UpstreamDeclaration engine,
            PrefillRequest order,
            int timeoutMillis,
            PrefillListener listener);

    /**
     * Asks for a decode.
     *
     * @param engine the engine
     * @param order what to decode
     * @param timeoutMillis when to give up
     * @param listener hears the stream
     * @return the way to abort
     */
    Abort decode(
            UpstreamDeclaration engine,
            DecodeRequest order,
            int timeoutMillis,
            DecodeListener listener);

    /**
     * Cancels a request.
     *
     * @param engine the engine
     * @param attempt the attempt to cancel
     * @return whether the engine confirmed; fails where it was not reached
     */
    CompletableFuture<Boolean> cancel(UpstreamDeclaration engine, String attempt);

    /**
     * Asks what an engine holds.
     *
     * @param engine the engine
     * @return the attempts and their owners
     */
    CompletableFuture<List<HeldAttempt>> heldAttempts(UpstreamDeclaration engine);

    /**
     * Asks for the load that an engine publishes.
     *
     * @param engine the engine
     * @return the load, late
     */
    CompletableFuture<Load> load(UpstreamDeclaration engine);

    /**
     * Asks for cache events.
     *
     * @param engine the engine
     * @param since the number of the last event seen
     * @return the events, late and with gaps
     */
    CompletableFuture<List<CacheEvent>> cacheEvents(UpstreamDeclaration engine, long since);

    /** Ends an exchange; may be called from any thread, more than once. */
    interface Abort {
        /** Ends it. */
        void abort();
    }

    /**
     * What to prefill. Immutable and thread safe.
     *
     * @param attempt names this attempt
     * @param owner the router that asks
     * @param partner the partner whose request it is
     * @param call the caller's own mark, empty for none
     * @param prompt the prompt
     * @param resumeText what was generated before, empty for a new answer
     * @param resumeTokens how many tokens that is
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
     * What to decode. Immutable and thread safe.
     *
     * @param attempt names this attempt
     * @param owner the router that asks
     * @param call the caller's own mark, empty for none
     * @param kvSource where the prefill's result is fetched, IP number and port
     * @param kvHandle the prefill's result
     * @param maxTokens how many tokens at most
     */
    record DecodeRequest(
            String attempt,
            Incarnation owner,
            String call,
            String kvSource,
            String kvHandle,
            int maxTokens) {}

    /** Receives what came of a prefill: one of the two, once. */
    interface PrefillListener {

        /**
         * Called when the result is there.
         *
         * @param handle names the result
         * @param lifeMillis how long it survives
         */
        void onResult(String handle, int lifeMillis);

        /**
         * Called when there is none.
         *
         * @param end how it ended
         */
        void onPrefillFailure(AttemptEnd end);
    }

    /** Receives a decode stream: events, then one of the two ends, once. */
    interface DecodeListener {

        /**
         * Receives a token.
         *
         * @param event the token
         */
        void onToken(TokenEvent event);

        /** Called when the answer is whole. */
        void onComplete();

        /**
         * Called when it will not be whole.
         *
         * @param end how it ended
         */
        void onDecodeFailure(AttemptEnd end);
    }

    /**
     * One attempt that an engine holds. Immutable and thread safe.
     *
     * @param attempt the attempt
     * @param owner the router that asked
     */
    record HeldAttempt(String attempt, String owner) {}

    /**
     * A published load. Immutable and thread safe.
     *
     * @param running how many requests are held
     * @param waitingTokens how many tokens wait, for a prefill engine
     * @param leaving whether the engine is leaving
     */
    record Load(int running, long waitingTokens, boolean leaving) {}

    /**
     * A block that was cached. Immutable and thread safe.
     *
     * @param number the event's number
     * @param block the block's name
     */
    record CacheEvent(long number, long block) {}
}
