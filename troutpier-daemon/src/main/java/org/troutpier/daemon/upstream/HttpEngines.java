package org.troutpier.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.Json;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** Model engines over HTTP with server-sent events. Thread safe. */
public final class HttpEngines implements Engines {

    /** How long a question about state may take, milliseconds. */
    private static final int QUESTION_MILLIS = 700;

    /** Sends the requests. */
    private final HttpClient mCalls;

    /**
     * Creates the adapter.
     *
     * @param calls sends the requests
     */
    public HttpEngines(HttpClient calls) {
        mCalls = calls;
    }

    /** {@inheritDoc} */
    @Override
    public Abort prefill(
            UpstreamDeclaration engine,
            PrefillOrder order,
            int timeoutMillis,
            PrefillListener listener) {
        HttpCall call =
                HttpCall.of("POST", engine.address().url("/v1/prefill"))
                        .withJson(prefillBody(order))
                        .withTimeout(timeoutMillis);
        CompletableFuture<HttpReply> future = mCalls.call(call);
        future.whenComplete(
                (reply, failure) -> {
                    if (failure instanceof CancellationException) {
                        return;
                    }
                    if (failure != null) {
                        listener.onPrefillEnd(failure(failure));
                    } else {
                        prefilled(order, reply, listener);
                    }
                });
        return () -> future.cancel(true);
    }

    /**
     * Reads the answer to a prefill.
     *
     * @param order what was asked
     * @param reply the answer
     * @param listener hears what came of it
     */
    private static void prefilled(PrefillOrder order, HttpReply reply, PrefillListener listener) {
        try {
            if (!reply.isSuccessful()) {
                listener.onPrefillEnd(refusal(reply.status(), reply.body()));
                return;
            }
            JsonNode result = reply.as(JsonNode.class);
            String echoed = result.path("request_id").asText();
            if (echoed.equals(order.attempt())) {
                listener.onResult(
                        result.path("kv_handle").asText(), result.path("expires_millis").asInt());
            } else {
                listener.onPrefillEnd(
                        AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + echoed));
            }
        } catch (TroutpierException exception) {
            listener.onPrefillEnd(
                    AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, exception.getMessage()));
        }
    }

    /**
     * Reads what an engine says in place of an answer.
     *
     * @param status the HTTP status
     * @param body the body
     * @return how the attempt ended
     */
    private static AttemptEnd refusal(int status, byte[] body) {
        JsonNode node;
        try {
            node = Json.read(body, JsonNode.class);
        } catch (TroutpierException exception) {
            return AttemptEnd.lost("the engine answers " + status);
        }
        if (node.has("started") && !node.path("started").asBoolean()) {
            boolean leaving = node.path("leaving").asBoolean();
            String reason = node.path("reason").asText("no room");
            return AttemptEnd.refused(leaving, "the engine answers " + status + ", " + reason);
        }
        return AttemptEnd.lost("the engine answers " + status);
    }

    /**
     * Tells how an attempt ended that got no answer.
     *
     * @param failure why
     * @return how it ended
     */
    private static AttemptEnd failure(Throwable failure) {
        boolean sent = !(failure instanceof CallFailedException failed) || failed.mayHaveBeenSent();
        String detail = String.valueOf(failure.getMessage());
        return sent ? AttemptEnd.lost(detail) : AttemptEnd.unreached(detail);
    }

    /** {@inheritDoc} */
    @Override
    public Abort decode(
            UpstreamDeclaration engine,
            DecodeOrder order,
            int timeoutMillis,
            DecodeListener listener) {
        HttpCall call =
                HttpCall.of("POST", engine.address().url("/v1/decode"))
                        .withJson(decodeBody(order))
                        .withTimeout(timeoutMillis);
        HttpClient.OngoingCall ongoing = mCalls.send(call, new Stream(order.attempt(), listener));
        return ongoing::abort;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> cancel(UpstreamDeclaration engine, String attempt) {
        HttpCall call =
                HttpCall.of("POST", engine.address().url("/v1/cancel"))
                        .withJson(Map.of("request_id", attempt))
                        .withTimeout(QUESTION_MILLIS);
        return mCalls.call(call).thenApply(HttpReply::isSuccessful);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<List<Held>> holding(UpstreamDeclaration engine) {
        return question(engine, "/v1/holding")
                .thenApply(
                        reply -> {
                            List<Held> held = new ArrayList<>();
                            for (JsonNode node : reply.as(JsonNode.class)) {
                                held.add(
                                        new Held(
                                                node.path("request_id").asText(),
                                                node.path("owner").asText()));
                            }
                            return held;
                        });
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Load> load(UpstreamDeclaration engine) {
        return question(engine, "/v1/load").thenApply(HttpEngines::load);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<List<CacheEvent>> cacheEvents(UpstreamDeclaration engine, long since) {
        return question(engine, "/v1/cache-events?since=" + since)
                .thenApply(HttpEngines::cacheEvents);
    }

    /**
     * Asks an engine about its state.
     *
     * @param engine the engine
     * @param path the path
     * @return the answer; fails where it is no success
     */
    private CompletableFuture<HttpReply> question(UpstreamDeclaration engine, String path) {
        HttpCall call = HttpCall.of("GET", engine.address().url(path)).withTimeout(QUESTION_MILLIS);
        return mCalls.call(call)
                .thenApply(
                        reply -> {
                            if (!reply.isSuccessful()) {
                                throw new TroutpierException(
                                        ResultCode.UPSTREAM_FAILED,
                                        engine.id() + " answers " + reply.status());
                            }
                            return reply;
                        });
    }

    /**
     * Reads a decode stream. Confined to the exchange's event loop. Invariant: a token that is not
     * this attempt's is never handed on.
     */
    private static final class Stream implements ReplyListener {

        /** The attempt that every event must name. */
        private final String mAttempt;

        /** Receives the stream. */
        private final DecodeListener mListener;

        /** Cuts the stream into events. */
        private final EventFrames mFrames = new EventFrames();

        /** The body of an answer that is no stream. */
        private final ByteArrayOutputStream mRefusal = new ByteArrayOutputStream();

        /** The status. */
        private int mStatus;

        /** Whether the end mark has come. */
        private boolean mDone;

        /** Whether the listener has heard an end. */
        private boolean mOver;

        /**
         * Creates a reader.
         *
         * @param attempt the attempt that every event must name
         * @param listener hears the stream
         */
        Stream(String attempt, DecodeListener listener) {
            mAttempt = attempt;
            mListener = listener;
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int status, HttpHeaders headers) {
            mStatus = status;
            String echoed = headers.get("X-Request-Id");
            if (status == 200 && echoed != null && !echoed.equals(mAttempt)) {
                end(AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + echoed));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (mStatus != 200) {
                mRefusal.writeBytes(part);
                return;
            }
            try {
                mFrames.feed(part, this::take);
            } catch (TroutpierException exception) {
                end(AttemptEnd.failed(exception.code(), exception.getMessage()));
            }
        }

        /**
         * Takes one event.
         *
         * @param bytes the event as it came
         */
        private void take(byte[] bytes) {
            TokenEvent event = TokenEvent.read(bytes);
            if (event == null || mOver || mDone) {
                return;
            }
            if (event.done()) {
                mDone = true;
            } else if (mAttempt.equals(event.id())) {
                mListener.onToken(event);
            } else {
                end(AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + event.id()));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            if (mStatus != 200) {
                end(refusal(mStatus, mRefusal.toByteArray()));
            } else if (!mDone) {
                end(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "no end mark came"));
            } else if (!mOver) {
                mOver = true;
                mListener.onWhole();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            end(HttpEngines.failure(failure));
        }

        /**
         * Tells the listener the end, once.
         *
         * @param end how it ended
         */
        private void end(AttemptEnd end) {
            if (!mOver) {
                mOver = true;
                mListener.onDecodeEnd(end);
            }
        }
    }

    /**
     * Writes what to prefill as the engine reads it.
     *
     * @param order what to prefill
     * @return the body
     */
    private static Map<String, Object> prefillBody(PrefillOrder order) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("request_id", order.attempt());
        body.put("owner", order.owner().value());
        body.put("partner", order.partner());
        body.put("call", order.call());
        body.put("prompt", order.prompt());
        body.put("resume_text", order.resumeText());
        body.put("resume_tokens", order.resumeTokens());
        return body;
    }

    /**
     * Writes what to decode as the engine reads it.
     *
     * @param order what to decode
     * @return the body
     */
    private static Map<String, Object> decodeBody(DecodeOrder order) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("request_id", order.attempt());
        body.put("owner", order.owner().value());
        body.put("call", order.call());
        body.put("kv_source", order.source());
        body.put("kv_handle", order.handle());
        body.put("max_tokens", order.maxTokens());
        return body;
    }

    /**
     * Reads a published load.
     *
     * @param reply the engine's answer
     * @return the load
     */
    private static Load load(HttpReply reply) {
        JsonNode node = reply.as(JsonNode.class);
        return new Load(
                node.path("running").asInt(),
                node.path("waiting_tokens").asLong(),
                node.path("leaving").asBoolean());
    }

    /**
     * Reads cache events.
     *
     * @param reply the engine's answer
     * @return the events
     */
    private static List<CacheEvent> cacheEvents(HttpReply reply) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode node : reply.as(JsonNode.class)) {
            events.add(new CacheEvent(node.path("number").asLong(), node.path("block").asLong()));
        }
        return events;
    }
}
