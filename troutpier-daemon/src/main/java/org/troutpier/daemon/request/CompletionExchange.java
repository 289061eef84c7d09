package org.troutpier.daemon.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;
import org.troutpier.daemon.claim.StoredAnswer;
import org.troutpier.daemon.placement.PromptBlocks;
import org.troutpier.daemon.upstream.AttemptEnd;
import org.troutpier.daemon.upstream.EngineClient;
import org.troutpier.daemon.upstream.TokenEvent;

/**
 * Handling of a completion: prefill, transfer, decode, answer. Confined to the event loop of the
 * caller's connection. Invariants: the end mark is sent only after the end mark of the decode
 * engine; a retry of an interrupted answer continues after the last token received; silence of an
 * engine ends an attempt only once other engines have been granted.
 */
public final class CompletionExchange extends RequestExchange {

    /** Interval at which the upstream is checked for silence. */
    private static final long SILENCE_CHECK_INTERVAL_MILLIS = 250;

    /** Maximum number of bytes buffered for a slow caller. */
    private static final long MAX_PENDING_BYTES = 1024 * 1024;

    /** End mark of an event stream. */
    private static final byte[] END_MARK = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final CompletionRequest mRequest;

    private final List<Long> mBlocks;

    /** Text received so far, over all attempts. */
    private final StringBuilder mText = new StringBuilder();

    /** Number of tokens in {@link #mText}. */
    private int mTokens;

    /** Number of tokens when the current attempt started. */
    private int mTokensBefore;

    /** Aborts the call to the upstream of the current step. */
    private EngineClient.Abort mAbort = () -> {};

    private Grant mCurrentGrant;

    private String mAttempt = "";

    /** Whether the prefill engine may hold resources of the current attempt. */
    private boolean mPrefillMayHold;

    /** Whether the decode engine may hold resources of the current attempt. */
    private boolean mDecodeMayHold;

    /** Start of the current step or arrival of the last token. */
    private long mLastProgressNanos;

    /** Arrival of the first token; 0 if there is none yet. */
    private long mFirstTokenNanos;

    private Future<?> mSilenceTimer;

    /** Whether the upstream of the current step has been silent for too long. */
    private boolean mSilent;

    /**
     * Parameters of a completion. Immutable and thread safe.
     *
     * @param prompt the prompt
     * @param maxTokens maximum number of tokens to generate
     * @param stream whether the answer is streamed
     */
    public record CompletionRequest(String prompt, int maxTokens, boolean stream) {}

    /**
     * Creates an exchange.
     *
     * @param services shared services
     * @param arrival the request
     * @param request parameters of the completion
     */
    public CompletionExchange(
            ExchangeServices services, Arrival arrival, CompletionRequest request) {
        super(services, arrival);
        mRequest = request;
        mBlocks = PromptBlocks.blockIds(request.prompt());
    }

    /** {@inheritDoc} */
    @Override
    protected Ticket ticket(
            long arrivalNanos, Set<UpstreamId> failedUpstreams, Ticket.Listener listener) {
        return new Ticket(
                id(),
                requestClass(),
                mBlocks,
                PromptBlocks.estimateTokens(mRequest.prompt()),
                arrivalNanos,
                failedUpstreams,
                listener);
    }

    /** {@inheritDoc} */
    @Override
    protected void runAttempt(Grant grant, String attempt) {
        mCurrentGrant = grant;
        mAttempt = attempt;
        mTokensBefore = mTokens;
        setStage(Stage.PREFILL);
        setUpstream(grant.prefill().id().value());
        recordEvent("prefill", grant.prefill().id() + " for " + grant.main().id());
        recordProgress(now());
        mPrefillMayHold = true;
        mSilenceTimer =
                exchange()
                        .loop()
                        .scheduleWithFixedDelay(
                                this::checkSilence,
                                SILENCE_CHECK_INTERVAL_MILLIS,
                                SILENCE_CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        EngineClient.PrefillRequest order =
                new EngineClient.PrefillRequest(
                        attempt,
                        services().node().incarnation(),
                        requestClass().partner().value(),
                        arrival().call(),
                        mRequest.prompt(),
                        mText.toString(),
                        mTokens);
        mAbort =
                services()
                        .engineClient()
                        .prefill(
                                grant.prefill(),
                                order,
                                remainingMillis(),
                                new PrefillHandler(attempt));
    }

    /**
     * Receives the result of the prefill on any thread and ignores it if the attempt is no longer
     * current.
     */
    private final class PrefillHandler implements EngineClient.PrefillListener {

        private final String mListenedAttempt;

        PrefillHandler(String attempt) {
            mListenedAttempt = attempt;
        }

        /** {@inheritDoc} */
        @Override
        public void onResult(String handle, int lifeMillis) {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            startDecode(handle);
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onPrefillFailure(AttemptEnd end) {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            mPrefillMayHold = !end.notStarted();
                            onAttemptEnd(end);
                        }
                    });
        }
    }

    /**
     * Starts the decode.
     *
     * @param handle handle of the prefill result
     */
    private void startDecode(String handle) {
        Grant grant = mCurrentGrant;
        long tookNanos = now() - mLastProgressNanos;
        services()
                .node()
                .control()
                .execute(() -> services().controller().onPrefillEnd(grant, tookNanos));
        setStage(Stage.TRANSFER);
        setUpstream(grant.main().id().value());
        recordEvent("decode", grant.main().id().value());
        recordProgress(now());
        mDecodeMayHold = true;
        EngineClient.DecodeRequest order =
                new EngineClient.DecodeRequest(
                        mAttempt,
                        services().node().incarnation(),
                        arrival().call(),
                        grant.prefill().address().toString(),
                        handle,
                        mRequest.maxTokens() - mTokens);
        mAbort =
                services()
                        .engineClient()
                        .decode(
                                grant.main(),
                                order,
                                remainingMillis(),
                                new DecodeHandler(mAttempt));
    }

    /**
     * Receives the events of the decode engine on any thread and ignores those of an attempt that
     * is no longer current.
     */
    private final class DecodeHandler implements EngineClient.DecodeListener {

        private final String mListenedAttempt;

        DecodeHandler(String attempt) {
            mListenedAttempt = attempt;
        }

        /** {@inheritDoc} */
        @Override
        public void onToken(TokenEvent event) {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            appendToken(event);
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onComplete() {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            onDecodeComplete();
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onDecodeFailure(AttemptEnd end) {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            mDecodeMayHold = !end.notStarted();
                            onAttemptEnd(endAfterPrefill(end));
                        }
                    });
        }
    }

    /**
     * Adjusts the end of a decode for the prefill before it: since the prefill has run and no
     * complete answer has arrived, the request has run and failed, whatever happened to the decode.
     */
    private static AttemptEnd endAfterPrefill(AttemptEnd end) {
        boolean ranAndFailed = end.code().family() == ResultCode.Family.RAN_AND_FAILED;
        return new AttemptEnd(
                false,
                end.leaving(),
                end.unreachable(),
                ranAndFailed ? end.code() : ResultCode.UPSTREAM_FAILED,
                end.detail());
    }

    /** Appends a token and sends it to the caller of a stream. */
    private void appendToken(TokenEvent event) {
        long now = now();
        if (mTokens == mTokensBefore) {
            onFirstTokenOfAttempt(now);
        }
        recordProgress(now);
        mTokens++;
        mText.append(event.text());
        if (mRequest.stream()) {
            exchange().write(withRequestId(event));
            if (exchange().pendingBytes() > MAX_PENDING_BYTES) {
                refuse(ResultCode.CALLER_TOO_SLOW, "the caller reads too slowly");
            }
        }
    }

    /** Records the first token of an attempt. */
    private void onFirstTokenOfAttempt(long now) {
        setStage(Stage.DECODE);
        recordEvent("first-token", "");
        mPrefillMayHold = false;
        Grant grant = mCurrentGrant;
        long stepNanos = now - mLastProgressNanos;
        services()
                .node()
                .control()
                .execute(() -> services().controller().onFirstToken(grant, stepNanos));
        if (mFirstTokenNanos == 0) {
            mFirstTokenNanos = now;
        }
        if (mRequest.stream()) {
            exchange().begin(200, streamHeaders());
        }
    }

    /**
     * Returns the bytes of an event with the id of the attempt replaced by that of the request, so
     * that retries are not visible to the caller.
     */
    private byte[] withRequestId(TokenEvent event) {
        if (mAttempt.equals(id().value())) {
            return event.bytes();
        }
        String text = new String(event.bytes(), StandardCharsets.UTF_8);
        return text.replace(mAttempt, id().value()).getBytes(StandardCharsets.UTF_8);
    }

    /** Completes the answer after the end mark of the decode engine. */
    private void onDecodeComplete() {
        mDecodeMayHold = false;
        mPrefillMayHold = false;
        count("tokens", mTokens);
        countGoodput();
        onAnswerComplete(new StoredAnswer(200, Map.of(), mText.toString(), mTokens, null), true);
    }

    /**
     * Counts the request as good if it met its targets for the first token and the mean time
     * between tokens.
     */
    private void countGoodput() {
        final long nanosPerMilli = 1_000_000L;
        long firstTokenMillis = (mFirstTokenNanos - arrivalNanos()) / nanosPerMilli;
        long meanTokenMillis =
                mTokens < 2
                        ? 0
                        : (mLastProgressNanos - mFirstTokenNanos) / (mTokens - 1) / nanosPerMilli;
        boolean firstInTime =
                !requestClass().hasTarget()
                        || firstTokenMillis <= requestClass().firstTokenMillis();
        boolean tokensInTime =
                requestClass().perTokenMillis() == 0
                        || meanTokenMillis <= requestClass().perTokenMillis();
        count(firstInTime && tokensInTime ? "good" : "late");
    }

    /** Adds to a counter of the partner. */
    private void count(String what, int amount) {
        String name = "requests." + requestClass().partner() + "." + what;
        services().node().metrics().counter(name).inc(amount);
    }

    /** Records that an upstream of the current attempt has sent something, or was just called. */
    private void recordProgress(long now) {
        mLastProgressNanos = now;
        if (mSilent) {
            mSilent = false;
            endReplacementSearch();
        }
    }

    /** Searches other engines if the upstream of the current step has been silent for too long. */
    private void checkSilence() {
        EngineSilence silence = new EngineSilence(mCurrentGrant, currentStage());
        if (!isCurrent(mAttempt) || !silence.isDue(now() - mLastProgressNanos)) {
            return;
        }
        String detail = silence.missing() + " from " + currentUpstream();
        if (!mSilent) {
            mSilent = true;
            count("silent");
            recordEvent("silent", detail);
        }
        AttemptEnd end = AttemptEnd.lost(detail);
        searchReplacement(
                silence.suspects(),
                silence::isAvoidedBy,
                currentStage() == Stage.PREFILL ? end : endAfterPrefill(end));
    }

    /** {@inheritDoc} */
    @Override
    protected UpstreamId failedUpstream(Grant grant) {
        return currentStage() == Stage.PREFILL ? grant.prefill().id() : grant.main().id();
    }

    /** {@inheritDoc} */
    @Override
    protected void stopAttempt() {
        mAbort.abort();
        mAbort = () -> {};
        if (mSilenceTimer != null) {
            mSilenceTimer.cancel(false);
        }
        Grant grant = mCurrentGrant;
        String attempt = mAttempt;
        if (mPrefillMayHold) {
            mPrefillMayHold = false;
            services()
                    .node()
                    .control()
                    .execute(() -> services().cancels().cancel(grant.prefill(), attempt));
        }
        if (mDecodeMayHold) {
            mDecodeMayHold = false;
            services()
                    .node()
                    .control()
                    .execute(() -> services().cancels().cancel(grant.main(), attempt));
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void sendAnswer(StoredAnswer answer) {
        if (!mRequest.stream()) {
            exchange().answer(HttpResponses.json(200, body(answer)));
            return;
        }
        if (!exchange().hasBegun()) {
            exchange().begin(200, streamHeaders());
            exchange().write(answerEvent(answer));
        }
        exchange().write(END_MARK);
        exchange().end();
    }

    /** {@inheritDoc} */
    @Override
    protected void sendTruncation(ResultCode code, String detail) {
        String error = new String(Json.bytes(HttpResponses.refusalBody(code, detail)));
        byte[] event = ("data: " + error + "\n\n").getBytes(StandardCharsets.UTF_8);
        exchange().write(event);
        exchange().abort();
    }

    private DefaultHttpHeaders streamHeaders() {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        headers.set("X-Request-Id", id().value());
        return headers;
    }

    /** Returns a stored answer as a single event. */
    private byte[] answerEvent(StoredAnswer answer) {
        String json = new String(Json.bytes(body(answer)), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body of an answer, to be serialised as JSON. */
    private Map<String, Object> body(StoredAnswer answer) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put("text", answer.text());
        choice.put("finish_reason", "length");
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", id().value());
        body.put("object", "text_completion");
        body.put("choices", List.of(choice));
        body.put("usage", Map.of("completion_tokens", answer.tokens()));
        return body;
    }

    private long now() {
        return services().node().nanos().getAsLong();
    }
}
