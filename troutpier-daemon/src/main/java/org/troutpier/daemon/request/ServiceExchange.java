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
 * The handling of a call to a plain service. Confined to the event loop of its caller's connection.
 * Invariant: a call that must not be repeated goes out on a connection of its own, so that a
 * connection that the service has just closed can never leave it in doubt.
 */
public final class ServiceExchange extends RequestExchange {

    /** Says, with {@code false}, that a refused call was not started. */
    public static final String STARTED_HEADER = "X-Request-Started";

    /** Carries the attempt's id to the service and back. */
    public static final String ID_HEADER = "X-Request-Id";

    /** The largest answer that is kept for a key, bytes. */
    private static final int MOST_KEPT = 1024 * 1024;

    /** The status by which a service may say that it did not start. */
    private static final int UNAVAILABLE = 503;

    /** The headers that belong to one connection and are not passed on. */
    private static final Set<String> HOP_HEADERS =
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

    /** The headers that are between the caller and the router. */
    private static final Set<String> ROUTER_HEADERS =
            Set.of("authorization", "troutpier-class", "idempotency-key", "host", "expect");

    /** The path and query to ask the service for, still encoded. */
    private final String mPath;

    /** The exchange with the service, or null. */
    private HttpClient.OngoingCall mOngoing;

    /** The current attempt. */
    private String mAttempt = "";

    /** The status of the service's answer. */
    private int mStatus;

    /** The headers of the service's answer. */
    private HttpHeaders mHeaders;

    /** The body so far, while it is kept back. */
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    /** Whether the body is kept back until the outcome is recorded. */
    private boolean mHoldBack;

    /** Whether the body grew too large to be kept. */
    private boolean mOverflow;

    /**
     * Creates an exchange.
     *
     * @param services what it calls on
     * @param arrival the request as it arrived
     * @param path the path and query to ask the service for, still encoded
     */
    public ServiceExchange(ExchangeServices services, Arrival arrival, String path) {
        super(services, arrival);
        mPath = path;
    }

    /** {@inheritDoc} */
    @Override
    protected Ticket ticket(long arrivalNanos, Set<UpstreamId> avoid, Ticket.Answer answer) {
        return new Ticket(id(), declared(), List.of(), 0, arrivalNanos, avoid, answer);
    }

    /** {@inheritDoc} */
    @Override
    protected void run(Grant grant, String attempt) {
        mAttempt = attempt;
        mHoldBack = arrival().key() != null;
        mBody.reset();
        stage(Stage.CALLING);
        where(grant.main().id().value());
        event("call", grant.main().id().value());
        HttpCall call =
                HttpCall.of(exchange().method(), grant.main().address().url(mPath))
                        .withBody(exchange().body())
                        .withTimeout(leftMillis());
        for (Map.Entry<String, String> header : passedOn().entrySet()) {
            call = call.withHeader(header.getKey(), header.getValue());
        }
        call = call.withHeader(ID_HEADER, attempt);
        if (!declared().repeatable()) {
            call = call.withFreshConnection();
        }
        mOngoing = services().node().calls().send(call, new Answering(attempt));
    }

    /**
     * Returns the caller's headers that the service gets.
     *
     * @return the headers
     */
    private Map<String, String> passedOn() {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Map.Entry<String, String> header : exchange().headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean length = name.equals("content-length");
            if (!HOP_HEADERS.contains(name) && !ROUTER_HEADERS.contains(name) && !length) {
                headers.merge(header.getKey(), header.getValue(), (a, b) -> a + ", " + b);
            }
        }
        return headers;
    }

    /** Receives the service's answer on any thread and passes on what is still of interest. */
    private final class Answering implements ReplyListener {

        /** The attempt that this belongs to. */
        private final String mOf;

        /**
         * Creates a listener.
         *
         * @param attempt the attempt that this belongs to
         */
        Answering(String attempt) {
            mOf = attempt;
        }

        /**
         * Runs an action if the attempt is still the current one.
         *
         * @param action the action
         */
        private void ifCurrent(Runnable action) {
            onLoop(
                    () -> {
                        if (current(mOf)) {
                            action.run();
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int status, HttpHeaders headers) {
            ifCurrent(() -> head(status, headers));
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            ifCurrent(() -> part(part));
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            ifCurrent(ServiceExchange.this::end);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(CallFailedException failure) {
            String detail = String.valueOf(failure.getMessage());
            ifCurrent(
                    () ->
                            broken(
                                    failure.mayHaveBeenSent()
                                            ? AttemptEnd.lost(detail)
                                            : AttemptEnd.unreached(detail)));
        }
    }

    /**
     * Takes the head of the service's answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    private void head(int status, HttpHeaders headers) {
        String echoed = headers.get(ID_HEADER);
        if (status == UNAVAILABLE && "false".equals(headers.get(STARTED_HEADER))) {
            attemptEnded(AttemptEnd.refused(false, "the service says that it did not start"));
        } else if (echoed != null && !echoed.equals(mAttempt)) {
            attemptEnded(AttemptEnd.failed(ResultCode.UPSTREAM_MISMATCH, "echoed " + echoed));
        } else {
            mStatus = status;
            mHeaders = headers;
        }
    }

    /**
     * Takes a part of the service's answer.
     *
     * @param part the part
     */
    private void part(byte[] part) {
        if (mHoldBack) {
            mBody.writeBytes(part);
            if (mBody.size() > MOST_KEPT) {
                mHoldBack = false;
                mOverflow = true;
                passOn(mBody.toByteArray());
                mBody.reset();
            }
        } else {
            passOn(part);
        }
    }

    /**
     * Sends a part to the caller and holds the service back while the caller is slower.
     *
     * @param part the part
     */
    private void passOn(byte[] part) {
        if (!exchange().hasBegun()) {
            HttpHeaders headers = shownHeaders(mHeaders);
            if (mOverflow) {
                headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            }
            exchange().begin(mStatus, headers);
            exchange().onWritable(this::resume);
        }
        exchange().write(part);
        if (!exchange().isWritable() && mOngoing != null) {
            mOngoing.pause();
            if (exchange().isWritable()) {
                mOngoing.resume();
            }
        }
    }

    /** Lets the service go on. */
    private void resume() {
        if (mOngoing != null) {
            mOngoing.resume();
        }
    }

    /** Goes on when the service's answer is complete. */
    private void end() {
        mOngoing = null;
        boolean good = !declared().hasTarget() || inTime();
        count(good ? "good" : "late");
        Map<String, String> headers = new LinkedHashMap<>();
        shownHeaders(mHeaders).forEach(entry -> headers.put(entry.getKey(), entry.getValue()));
        complete(new StoredAnswer(mStatus, headers, null, 0, mBody.toByteArray()), !mOverflow);
    }

    /**
     * Returns whether the answer met the class's target.
     *
     * @return whether it came in time
     */
    private boolean inTime() {
        final long nanosPerMilli = 1_000_000L;
        long took = services().node().nanos().getAsLong() - arrivalNanos();
        return took <= declared().firstTokenMillis() * nanosPerMilli;
    }

    /**
     * Goes on when the exchange with the service broke.
     *
     * @param end how it ended
     */
    private void broken(AttemptEnd end) {
        if (exchange().hasBegun()) {
            refuse(ResultCode.UPSTREAM_FAILED, end.detail());
        } else {
            attemptEnded(end);
        }
    }

    /** {@inheritDoc} */
    @Override
    protected UpstreamId blamed(Grant grant) {
        return grant.main().id();
    }

    /** {@inheritDoc} */
    @Override
    protected void stopAttempt() {
        if (mOngoing != null) {
            mOngoing.abort();
            mOngoing = null;
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void sendWhole(StoredAnswer answer) {
        if (exchange().hasBegun()) {
            exchange().end();
            return;
        }
        FullHttpResponse whole =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        answer.headers().forEach(whole.headers()::set);
        whole.headers().set(ID_HEADER, id().value());
        boolean head = exchange().method().equals("HEAD");
        if (!head && answer.status() != HttpResponseStatus.NO_CONTENT.code()) {
            whole.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        exchange().answer(whole);
    }

    /** {@inheritDoc} */
    @Override
    protected void sendCut(ResultCode code, String detail) {
        exchange().abort();
    }

    /**
     * Returns the service's headers that the caller gets.
     *
     * @param headers the service's headers
     * @return new headers
     */
    private HttpHeaders shownHeaders(HttpHeaders headers) {
        HttpHeaders shown = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            if (!HOP_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                shown.add(header.getKey(), header.getValue());
            }
        }
        shown.set(ID_HEADER, id().value());
        return shown;
    }
}
