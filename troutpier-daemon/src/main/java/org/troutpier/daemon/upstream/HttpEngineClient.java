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
import org.troutpier.common.eventstream.ServerSentEvent;
import org.troutpier.common.eventstream.ServerSentEventSplitter;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.Json;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** Engine client over HTTP; decode streams are server-sent events. Thread safe. */
public final class HttpEngineClient implements EngineClient {

    /** Timeout of queries and cancellations. */
    private static final int QUERY_TIMEOUT_MILLIS = 700;

    /** The largest refusal of a decode, bytes. */
    private static final int MAX_REFUSAL_BYTES = 64 * 1024;

    private final HttpClient mCalls;

    /** Creates a client. */
    public HttpEngineClient(HttpClient calls) {
        mCalls = calls;
    }

    /** {@inheritDoc} */
    @Override
    public Abort prefill(
            UpstreamDeclaration engine,
            PrefillRequest request,
            int timeoutMillis,
            PrefillListener listener) {
        HttpCall call =
                HttpCall.of("POST", engine.address().url("/v1/prefill"))
                        .withJson(prefillBody(request))
                        .withTimeout(timeoutMillis);
        CompletableFuture<HttpReply> future = mCalls.call(call);
        future.whenComplete(
                (reply, failure) -> {
                    if (failure instanceof CancellationException) {
                        return;
                    }
                    if (failure != null) {
                        listener.onPrefillFailure(toAttemptEnd(failure));
                    } else {
                        onPrefillReply(request, reply, listener);
                    }
                });
        return () -> future.cancel(true);
    }

    /** Passes the reply to a prefill to its listener. */
    private static void onPrefillReply(
            PrefillRequest request, HttpReply reply, PrefillListener listener) {
        try {
            if (!reply.isSuccessful()) {
                listener.onPrefillFailure(parseRefusal(reply.status(), reply.body()));
                return;
            }
            JsonNode result = reply.as(JsonNode.class);
            String echoed = result.path("request_id").asText();
            if (echoed.equals(request.attempt())) {
                listener.onResult(
                        result.path("kv_handle").asText(), result.path("expires_millis").asInt());
            } else {
                listener.onPrefillFailure(
                        AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + echoed));
            }
        } catch (TroutpierException exception) {
            listener.onPrefillFailure(
                    AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, exception.getMessage()));
        }
    }

    /**
     * Parses a reply that is no success. Without a body that says that the request was not started
     * its outcome is unknown.
     */
    private static AttemptEnd parseRefusal(int status, byte[] body) {
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

    /** Converts the failure of a call that got no reply. */
    private static AttemptEnd toAttemptEnd(Throwable failure) {
        boolean sent = !(failure instanceof CallFailedException failed) || failed.mayHaveBeenSent();
        String detail = String.valueOf(failure.getMessage());
        return sent ? AttemptEnd.lost(detail) : AttemptEnd.unreached(detail);
    }

    /** {@inheritDoc} */
    @Override
    public Abort decode(
            UpstreamDeclaration engine,
            DecodeRequest request,
            int timeoutMillis,
            DecodeListener listener) {
        HttpCall call =
                HttpCall.of("POST", engine.address().url("/v1/decode"))
                        .withJson(decodeBody(request))
                        .withTimeout(timeoutMillis);
        DecodeStreamReader reader = new DecodeStreamReader(request.attempt(), listener);
        HttpClient.OngoingCall ongoing = mCalls.send(call, reader);
        reader.mExchange.complete(ongoing);
        return ongoing::abort;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> cancel(UpstreamDeclaration engine, String attempt) {
        HttpCall call =
                HttpCall.of("POST", engine.address().url("/v1/cancel"))
                        .withJson(Map.of("request_id", attempt))
                        .withTimeout(QUERY_TIMEOUT_MILLIS);
        return mCalls.call(call).thenApply(HttpReply::isSuccessful);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<List<HeldAttempt>> heldAttempts(UpstreamDeclaration engine) {
        return query(engine, "/v1/holding")
                .thenApply(
                        reply -> {
                            List<HeldAttempt> held = new ArrayList<>();
                            for (JsonNode node : reply.as(JsonNode.class)) {
                                held.add(
                                        new HeldAttempt(
                                                node.path("request_id").asText(),
                                                node.path("owner").asText()));
                            }
                            return held;
                        });
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Load> load(UpstreamDeclaration engine) {
        return query(engine, "/v1/load").thenApply(HttpEngineClient::parseLoad);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<List<CacheEvent>> cacheEvents(UpstreamDeclaration engine, long since) {
        return query(engine, "/v1/cache-events?since=" + since)
                .thenApply(HttpEngineClient::parseCacheEvents);
    }

    /**
     * Sends a query.
     *
     * @param engine the engine
     * @param path the path and query
     * @return the reply; fails if it is no success
     */
    private CompletableFuture<HttpReply> query(UpstreamDeclaration engine, String path) {
        HttpCall call =
                HttpCall.of("GET", engine.address().url(path)).withTimeout(QUERY_TIMEOUT_MILLIS);
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
     * Reads a decode stream. Confined to the event loop of the call. Invariants: a token of another
     * attempt is never passed on; nothing is read after the end was reported to the listener.
     */
    private static final class DecodeStreamReader implements ReplyListener {

        /** The attempt that every event must name. */
        private final String mAttempt;

        private final DecodeListener mListener;

        private final ServerSentEventSplitter mSplitter = new ServerSentEventSplitter();

        /** The exchange, once it was begun. */
        private final CompletableFuture<HttpClient.OngoingCall> mExchange =
                new CompletableFuture<>();

        /** The body of a reply whose status is not 200. */
        private final ByteArrayOutputStream mRefusalBody = new ByteArrayOutputStream();

        private int mStatus;

        /** Whether the end mark was received. */
        private boolean mEndMarkReceived;

        /** Bytes received in parts that follow the one with the end mark. */
        private int mBytesAfterEndMark;

        /** Whether the end was reported to the listener. */
        private boolean mEnded;

        DecodeStreamReader(String attempt, DecodeListener listener) {
            mAttempt = attempt;
            mListener = listener;
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int status, HttpHeaders headers) {
            mStatus = status;
            String echoed = headers.get("X-Request-Id");
            if (status == 200 && echoed != null && !echoed.equals(mAttempt)) {
                fail(AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + echoed));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (mEnded) {
                return;
            }
            if (mStatus != 200) {
                mRefusalBody.writeBytes(part);
                if (mRefusalBody.size() > MAX_REFUSAL_BYTES) {
                    fail(AttemptEnd.lost("the engine answers " + mStatus + " without end"));
                }
                return;
            }
            if (mEndMarkReceived) {
                mBytesAfterEndMark += part.length;
                if (mBytesAfterEndMark > ServerSentEventSplitter.MAX_EVENT_BYTES) {
                    complete();
                }
                return;
            }
            try {
                mSplitter.feed(part, this::onEvent);
            } catch (TroutpierException exception) {
                fail(AttemptEnd.failed(exception.code(), exception.getMessage()));
            }
        }

        /** Handles one event. */
        private void onEvent(ServerSentEvent received) {
            TokenEvent event = TokenEvent.parse(received);
            if (event == null || mEnded || mEndMarkReceived) {
                return;
            }
            if (event.done()) {
                mEndMarkReceived = true;
            } else if (mAttempt.equals(event.id())) {
                mListener.onToken(event);
            } else {
                fail(AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + event.id()));
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            if (mStatus != 200) {
                fail(parseRefusal(mStatus, mRefusalBody.toByteArray()));
            } else if (!mEndMarkReceived) {
                fail(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "no end mark came"));
            } else {
                complete();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            fail(HttpEngineClient.toAttemptEnd(failure));
        }

        /** Reports the failure to the listener, unless the end was reported before. */
        private void fail(AttemptEnd end) {
            if (end()) {
                mListener.onDecodeFailure(end);
            }
        }

        /** Reports that the stream is complete, unless the end was reported before. */
        private void complete() {
            if (end()) {
                mListener.onComplete();
            }
        }

        /** Stops reading; returns whether the end was not reported before. */
        private boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mExchange.thenAccept(HttpClient.OngoingCall::abort);
            return true;
        }
    }

    private static Map<String, Object> prefillBody(PrefillRequest request) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("request_id", request.attempt());
        body.put("owner", request.owner().value());
        body.put("partner", request.partner());
        body.put("call", request.call());
        body.put("prompt", request.prompt());
        body.put("resume_text", request.resumeText());
        body.put("resume_tokens", request.resumeTokens());
        return body;
    }

    private static Map<String, Object> decodeBody(DecodeRequest request) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("request_id", request.attempt());
        body.put("owner", request.owner().value());
        body.put("call", request.call());
        body.put("kv_source", request.kvSource());
        body.put("kv_handle", request.kvHandle());
        body.put("max_tokens", request.maxTokens());
        return body;
    }

    private static Load parseLoad(HttpReply reply) {
        JsonNode node = reply.as(JsonNode.class);
        return new Load(
                node.path("running").asInt(),
                node.path("waiting_tokens").asLong(),
                node.path("leaving").asBoolean());
    }

    private static List<CacheEvent> parseCacheEvents(HttpReply reply) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode node : reply.as(JsonNode.class)) {
            events.add(new CacheEvent(node.path("number").asLong(), node.path("block").asLong()));
        }
        return events;
    }
}
