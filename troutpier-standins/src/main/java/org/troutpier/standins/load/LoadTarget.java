package org.troutpier.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.common.settings.Address;

/** The destination of load. Implementations are thread safe. */
public interface LoadTarget {

    /** How long the load tool waits for an answer. */
    int TIMEOUT_MILLIS = 120_000;

    /**
     * Sends one request.
     *
     * @param stream the stream of the request
     * @param id the id of the request, also its idempotency key if the stream is keyed
     * @param prompt its prompt
     * @param outputTokens the number of tokens to request
     * @param listener receives the answer
     */
    void send(
            LoadStream stream, String id, String prompt, int outputTokens, ReplyListener listener);

    /** Distributes requests over routers by round robin. */
    final class ThroughRouters implements LoadTarget {

        private final HttpClient mCalls;

        private final List<Address> mRouters;

        private final AtomicInteger mNext = new AtomicInteger();

        /**
         * Creates a target.
         *
         * @param calls the HTTP client
         * @param routers the routers
         */
        public ThroughRouters(HttpClient calls, List<Address> routers) {
            mCalls = calls;
            mRouters = List.copyOf(routers);
        }

        /** {@inheritDoc} */
        @Override
        public void send(
                LoadStream stream,
                String id,
                String prompt,
                int outputTokens,
                ReplyListener listener) {
            int index = Math.floorMod(mNext.getAndIncrement(), mRouters.size());
            Address router = mRouters.get(index);
            String path = stream.completion() ? "/v1/completions" : stream.path();
            HttpCall call =
                    HttpCall.of(stream.completion() ? "POST" : stream.method(), router.url(path))
                            .withHeader("Authorization", "Bearer " + stream.token())
                            .withHeader("Troutpier-Class", stream.requestClass())
                            .withHeader("X-Call", id)
                            .withTimeout(TIMEOUT_MILLIS);
            if (stream.keyed()) {
                call = call.withHeader("Idempotency-Key", id);
            }
            if (stream.completion()) {
                call =
                        call.withJson(
                                Map.of(
                                        "prompt", prompt,
                                        "max_tokens", outputTokens,
                                        "stream", true));
            }
            mCalls.send(call, listener);
        }
    }

    /** Sends directly to one prefill and one decode engine, as a caller without a router would. */
    final class StraightToEngines implements LoadTarget {

        private final HttpClient mCalls;

        private final Address mPrefill;

        private final Address mDecode;

        /**
         * Creates a target.
         *
         * @param calls the HTTP client
         * @param prefill the prefill engine
         * @param decode the decode engine
         */
        public StraightToEngines(HttpClient calls, Address prefill, Address decode) {
            mCalls = calls;
            mPrefill = prefill;
            mDecode = decode;
        }

        /** {@inheritDoc} */
        @Override
        public void send(
                LoadStream stream,
                String id,
                String prompt,
                int outputTokens,
                ReplyListener listener) {
            HttpCall prefill =
                    HttpCall.of("POST", mPrefill.url("/v1/prefill"))
                            .withJson(
                                    Map.of(
                                            "request_id",
                                            id,
                                            "owner",
                                            "load",
                                            "partner",
                                            stream.partner(),
                                            "prompt",
                                            prompt));
            mCalls.call(prefill)
                    .whenComplete(
                            (reply, failure) -> {
                                if (reply == null || !reply.isSuccessful()) {
                                    listener.onFailure(new CallFailedException(true, failure));
                                    return;
                                }
                                String handle = reply.as(JsonNode.class).path("kv_handle").asText();
                                mCalls.send(decode(id, handle, outputTokens), listener);
                            });
        }

        /**
         * Creates the decode request.
         *
         * @param id the request's id
         * @param handle the handle of the prefill result
         * @param outputTokens the number of tokens to request
         * @return the request
         */
        private HttpCall decode(String id, String handle, int outputTokens) {
            return HttpCall.of("POST", mDecode.url("/v1/decode"))
                    .withJson(
                            Map.of(
                                    "request_id", id,
                                    "owner", "load",
                                    "kv_source", mPrefill.toString(),
                                    "kv_handle", handle,
                                    "max_tokens", outputTokens))
                    .withTimeout(TIMEOUT_MILLIS);
        }
    }
}
