package org.troutpier.daemon.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.ReplyListener;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;
import org.troutpier.daemon.claim.StoredAnswer;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Handling of a call to a plain service. Confined to the event loop of the caller's connection.
 * Invariant: a call that is not repeatable is sent on a new connection. On a pooled connection that
 * the service has just closed, it would be unknown whether the call was received.
 */
public final class ServiceExchange extends RequestExchange {

    /**
     * Response header that, with the value {@code false}, confirms that a refused call was not
     * started.
     */
    public static final String STARTED_HEADER = "X-Request-Started";

    /** Header with the id of the attempt, sent to the service, which may echo it. */
    public static final String ID_HEADER = "X-Request-Id";

    /** Largest answer that is stored for an idempotency key. */
    private static final int MAX_KEPT_BYTES = 1024 * 1024;

    /** Status with which a service may report that it did not start a call. */
    private static final int UNAVAILABLE = 503;

    /** Headers that apply to a single connection and are not forwarded. */
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    /** Headers that are exchanged between the caller and the router only. */
    private static final Set<String> ROUTER_HEADERS =
            Set.of("authorization", "troutpier-class", "idempotency-key", "host", "expect");

    /** Encoded path and query of the call to the service. */
    private final String mPath;

    /** The call to the service, or null. */
    private HttpClient.OngoingCall mCall;

    private String mAttempt = "";

    private int mStatus;

    private HttpHeaders mHeaders;

    /** Body received so far, while it is buffered. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** Whether the body is buffered until the outcome is recorded. */
    private boolean mBuffering;

    /** Whether the body grew too large to be stored. */
    private boolean mOverflow;

    /**
     * Creates an exchange.
     *
     * @param services shared services
     * @param arrival the request
     * @param path encoded path and query of the call to the service
     */
    public ServiceExchange(ExchangeServices services, Arrival arrival, String path) {
        super(services, arrival);
        mPath = path;
    }

    /** {@inheritDoc} */
    @Override
    protected Ticket ticket(
            long arrivalNanos, Set<UpstreamId> failedUpstreams, Ticket.Listener listener) {
        return new Ticket(
                id(), requestClass(), List.of(), 0, arrivalNanos, failedUpstreams, listener);
    }

    /** {@inheritDoc} */
    @Override
    protected void runAttempt(Grant grant, String attempt) {
        mAttempt = attempt;
        mBuffering = arrival().key() != null;
        mBody.reset();
        setStage(Stage.CALLING);
        setUpstream(grant.main().id().value());
        recordEvent("call", grant.main().id().value());
        HttpCall call =
                HttpCall.of(exchange().method(), grant.main().address().url(mPath))
                        .withBody(exchange().body())
                        .withTimeout(remainingMillis());
        for (Map.Entry<String, String> header : forwardedHeaders().entrySet()) {
            call = call.withHeader(header.getKey(), header.getValue());
        }
        call = call.withHeader(ID_HEADER, attempt);
        if (!requestClass().repeatable()) {
            call = call.withFreshConnection();
        }
        mCall = services().node().calls().send(call, new ReplyHandler(attempt));
    }

    /** Returns the headers of the caller that are forwarded to the service. */
    private Map<String, String> forwardedHeaders() {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Map.Entry<String, String> header : exchange().headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean contentLength = name.equals("content-length");
            if (!HOP_BY_HOP_HEADERS.contains(name)
                    && !ROUTER_HEADERS.contains(name)
                    && !contentLength) {
                headers.merge(header.getKey(), header.getValue(), (a, b) -> a + ", " + b);
            }
        }
        return headers;
    }

    /**
     * Receives the service's answer on any thread and ignores it if the attempt is no longer
     * current.
     */
    private final class ReplyHandler implements ReplyListener {

        private final String mListenedAttempt;

        ReplyHandler(String attempt) {
            mListenedAttempt = attempt;
        }

        /** Runs an action on the event loop if the attempt is still current. */
        private void ifCurrent(Runnable action) {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            action.run();
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int status, HttpHeaders headers) {
            ifCurrent(() -> acceptHead(status, headers));
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            ifCurrent(() -> acceptPart(part));
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            ifCurrent(ServiceExchange.this::finishReply);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            String detail = String.valueOf(failure.getMessage());
            ifCurrent(
                    () ->
                            onCallFailure(
                                    failure.mayHaveBeenSent()
                                            ? AttemptEnd.lost(detail)
                                            : AttemptEnd.unreached(detail)));
        }
    }

    /** Handles status and headers of the service's answer. */
    private void acceptHead(int status, HttpHeaders headers) {
        String echoed = headers.get(ID_HEADER);
        if (status == UNAVAILABLE && "false".equals(headers.get(STARTED_HEADER))) {
            onAttemptEnd(AttemptEnd.refused(false, "the service says that it did not start"));
        } else if (echoed != null && !echoed.equals(mAttempt)) {
            onAttemptEnd(AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + echoed));
        } else {
            mStatus = status;
            mHeaders = headers;
        }
    }

    /** Buffers or forwards a part of the service's body. */
    private void acceptPart(byte[] part) {
        if (mBuffering) {
            mBody.writeBytes(part);
            if (mBody.size() > MAX_KEPT_BYTES) {
                mBuffering = false;
                mOverflow = true;
                forward(mBody.toByteArray());
                mBody.reset();
            }
        } else {
            forward(part);
        }
    }

    /**
     * Sends a part of the body to the caller and pauses reading from the service while the caller
     * is slower.
     */
    private void forward(byte[] part) {
        if (!exchange().hasBegun()) {
            HttpHeaders headers = callerHeaders(mHeaders);
            if (mOverflow) {
                headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            }
            exchange().begin(mStatus, headers);
            exchange().onWritable(this::resume);
        }
        exchange().write(part);
        if (!exchange().isWritable() && mCall != null) {
            mCall.pause();
            if (exchange().isWritable()) {
                mCall.resume();
            }
        }
    }

    /** Resumes reading from the service. */
    private void resume() {
        if (mCall != null) {
            mCall.resume();
        }
    }

    /** Completes the answer after the end of the service's answer. */
    private void finishReply() {
        mCall = null;
        boolean good = !requestClass().hasTarget() || metTarget();
        count(good ? "good" : "late");
        Map<String, String> headers = new LinkedHashMap<>();
        callerHeaders(mHeaders).forEach(entry -> headers.put(entry.getKey(), entry.getValue()));
        onAnswerComplete(
                new StoredAnswer(mStatus, headers, null, 0, mBody.toByteArray()), !mOverflow);
    }

    /** Returns whether the answer arrived within the target of the request class. */
    private boolean metTarget() {
        final long nanosPerMilli = 1_000_000L;
        long took = services().node().nanos().getAsLong() - arrivalNanos();
        return took <= requestClass().firstTokenMillis() * nanosPerMilli;
    }

    /**
     * Handles a failed call: an answer that has been started is truncated, otherwise the attempt
     * ends.
     */
    private void onCallFailure(AttemptEnd end) {
        if (exchange().hasBegun()) {
            refuse(ResultCode.UPSTREAM_FAILED, end.detail());
        } else {
            onAttemptEnd(end);
        }
    }

    /** {@inheritDoc} */
    @Override
    protected UpstreamId failedUpstream(Grant grant) {
        return grant.main().id();
    }

    /** {@inheritDoc} */
    @Override
    protected void stopAttempt() {
        if (mCall != null) {
            mCall.abort();
            mCall = null;
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void sendAnswer(StoredAnswer answer) {
        if (exchange().hasBegun()) {
            exchange().end();
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        answer.headers().forEach(response.headers()::set);
        response.headers().set(ID_HEADER, id().value());
        boolean head = exchange().method().equals("HEAD");
        if (!head && answer.status() != HttpResponseStatus.NO_CONTENT.code()) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        exchange().answer(response);
    }

    /** {@inheritDoc} */
    @Override
    protected void sendTruncation(ResultCode code, String detail) {
        exchange().abort();
    }

    /** Returns the headers of the service's answer that are forwarded to the caller. */
    private HttpHeaders callerHeaders(HttpHeaders headers) {
        HttpHeaders callerHeaders = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            if (!HOP_BY_HOP_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                callerHeaders.add(header.getKey(), header.getValue());
            }
        }
        callerHeaders.set(ID_HEADER, id().value());
        return callerHeaders;
    }
}
