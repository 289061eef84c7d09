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
import org.troutpier.common.http.Answers;
import org.troutpier.common.http.Json;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.admission.Grant;
import org.troutpier.daemon.admission.Ticket;
import org.troutpier.daemon.claim.StoredAnswer;
import org.troutpier.daemon.placement.PromptBlocks;
import org.troutpier.daemon.upstream.AttemptEnd;
import org.troutpier.daemon.upstream.Engines;
import org.troutpier.daemon.upstream.TokenEvent;

/**
 * The handling of a completion: prefill, transfer, decode, answer. Confined to the event loop of
 * its caller's connection. Invariant: the end mark is sent only after the decode engine's own end
 * mark, and an answer that was cut is continued from the token where it broke off.
 */
public final class CompletionExchange extends RequestExchange {

    /** How often a silent upstream is looked for, milliseconds. */
    private static final long SILENCE_CHECK_INTERVAL_MILLIS = 250;

    /** How long a prefill may take beyond what is predicted, nanoseconds. */
    private static final long PREFILL_TIMEOUT_NANOS = 4_000_000_000L;

    /** How long a transfer may take up to the first token, nanoseconds. */
    private static final long TRANSFER_TIMEOUT_NANOS = 2_000_000_000L;

    /** How long a decode may be silent between tokens, nanoseconds. */
    private static final long TOKEN_TIMEOUT_NANOS = 3_000_000_000L;

    /** How much may wait for a slow caller, bytes. */
    private static final long MAX_PENDING_BYTES = 1024 * 1024;

    /** The end mark of a stream. */
    private static final byte[] END_MARK = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    /** What was asked. */
    private final CompletionRequest mRequest;

    /** The prompt's prefix blocks. */
    private final List<Long> mBlocks;

    /** The answer so far. */
    private final StringBuilder mText = new StringBuilder();

    /** How many tokens that is. */
    private int mTokens;

    /** How many tokens there were when the current attempt began. */
    private int mTokensBefore;

    /** Ends the exchange with the upstream of the current step. */
    private Engines.Abort mAbort = () -> {};

    /** What the current attempt uses, or null. */
    private Grant mCurrentGrant;

    /** The current attempt. */
    private String mAttempt = "";

    /** Whether the prefill engine may hold something of the current attempt. */
    private boolean mPrefillMayHold;

    /** Whether the decode engine may hold something of the current attempt. */
    private boolean mDecodeMayHold;

    /** When the current step began or the last token came. */
    private long mLastProgressNanos;

    /** When the first token came, or 0. */
    private long mFirstTokenNanos;

    /** Looks for a silent upstream. */
    private Future<?> mSilenceTimer;

    /**
     * What a caller asks of a model. Immutable and thread safe.
     *
     * @param prompt the prompt
     * @param maxTokens how many tokens at most
     * @param stream whether the answer is streamed
     */
    public record CompletionRequest(String prompt, int maxTokens, boolean stream) {}

    /**
     * Creates an exchange.
     *
     * @param services what it calls on
     * @param arrival the request as it arrived
     * @param order what was asked
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
        mLastProgressNanos = now();
        mPrefillMayHold = true;
        mSilenceTimer =
                exchange()
                        .loop()
                        .scheduleWithFixedDelay(
                                this::checkSilence,
                                SILENCE_CHECK_INTERVAL_MILLIS,
                                SILENCE_CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
        Engines.PrefillOrder order =
                new Engines.PrefillOrder(
                        attempt,
                        services().node().incarnation(),
                        requestClass().partner().value(),
                        arrival().call(),
                        mRequest.prompt(),
                        mText.toString(),
                        mTokens);
        mAbort =
                services()
                        .engines()
                        .prefill(
                                grant.prefill(),
                                order,
                                remainingMillis(),
                                new PrefillHandler(attempt));
    }

    /**
     * Receives the prefill engine's answer on any thread and passes on what is still of interest.
     */
    private final class PrefillHandler implements Engines.PrefillListener {

        /** The attempt that this belongs to. */
        private final String mListenedAttempt;

        /**
         * Creates a listener.
         *
         * @param attempt the attempt that this belongs to
         */
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
        public void onPrefillEnd(AttemptEnd end) {
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
     * Goes on with the decode.
     *
     * @param handle the prefill's result
     */
    private void startDecode(String handle) {
        Grant grant = mCurrentGrant;
        long took = now() - mLastProgressNanos;
        services()
                .node()
                .control()
                .execute(() -> services().controller().onPrefillEnd(grant, took));
        setStage(Stage.TRANSFER);
        setUpstream(grant.main().id().value());
        recordEvent("decode", grant.main().id().value());
        mLastProgressNanos = now();
        mDecodeMayHold = true;
        Engines.DecodeOrder order =
                new Engines.DecodeOrder(
                        mAttempt,
                        services().node().incarnation(),
                        arrival().call(),
                        grant.prefill().address().toString(),
                        handle,
                        mRequest.maxTokens() - mTokens);
        mAbort =
                services()
                        .engines()
                        .decode(
                                grant.main(),
                                order,
                                remainingMillis(),
                                new DecodeHandler(mAttempt));
    }

    /**
     * Receives the decode engine's events on any thread and passes on what is still of interest.
     */
    private final class DecodeHandler implements Engines.DecodeListener {

        /** The attempt that this belongs to. */
        private final String mListenedAttempt;

        /**
         * Creates a listener.
         *
         * @param attempt the attempt that this belongs to
         */
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
        public void onWhole() {
            runOnLoop(
                    () -> {
                        if (isCurrent(mListenedAttempt)) {
                            onDecodeComplete();
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onDecodeEnd(AttemptEnd end) {
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
     * Corrects how a decode ended by what went before it: the prefill has run and no whole answer
     * came, so the request ran and failed, whatever became of the decode.
     *
     * @param end how the decode ended
     * @return how the attempt ended
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

    /**
     * Takes a token.
     *
     * @param event the token
     */
    private void appendToken(TokenEvent event) {
        long now = now();
        if (mTokens == mTokensBefore) {
            onFirstTokenOfAttempt(now);
        }
        mLastProgressNanos = now;
        mTokens++;
        mText.append(event.text());
        if (mRequest.stream()) {
            exchange().write(withRequestId(event));
            if (exchange().pendingBytes() > MAX_PENDING_BYTES) {
                refuse(ResultCode.CALLER_TOO_SLOW, "the caller reads too slowly");
            }
        }
    }

    /**
     * Takes note of the first token of an attempt.
     *
     * @param now the time
     */
    private void onFirstTokenOfAttempt(long now) {
        setStage(Stage.DECODE);
        recordEvent("first-token", "");
        mPrefillMayHold = false;
        Grant grant = mCurrentGrant;
        long step = now - mLastProgressNanos;
        services()
                .node()
                .control()
                .execute(() -> services().controller().onFirstToken(grant, step));
        if (mFirstTokenNanos == 0) {
            mFirstTokenNanos = now;
        }
        if (mRequest.stream()) {
            exchange().begin(200, streamHeaders());
        }
    }

    /**
     * Returns an event as the caller sees it: with the request's id, whichever attempt it is of.
     *
     * @param event the event
     * @return its bytes
     */
    private byte[] withRequestId(TokenEvent event) {
        if (mAttempt.equals(id().value())) {
            return event.bytes();
        }
        String text = new String(event.bytes(), StandardCharsets.UTF_8);
        return text.replace(mAttempt, id().value()).getBytes(StandardCharsets.UTF_8);
    }

    /** Goes on when the decode engine's end mark has come. */
    private void onDecodeComplete() {
        mDecodeMayHold = false;
        mPrefillMayHold = false;
        count("tokens", mTokens);
        countGoodput();
        onAnswerComplete(new StoredAnswer(200, Map.of(), mText.toString(), mTokens, null), true);
    }

    /** Counts the request as good if it met both its targets. */
    private void countGoodput() {
        final long nanosPerMilli = 1_000_000L;
        long first = (mFirstTokenNanos - arrivalNanos()) / nanosPerMilli;
        long between =
                mTokens < 2
                        ? 0
                        : (mLastProgressNanos - mFirstTokenNanos) / (mTokens - 1) / nanosPerMilli;
        boolean firstInTime =
                !requestClass().hasTarget() || first <= requestClass().firstTokenMillis();
        boolean restInTime =
                requestClass().perTokenMillis() == 0 || between <= requestClass().perTokenMillis();
        count(firstInTime && restInTime ? "good" : "late");
    }

    /**
     * Counts several.
     *
     * @param what what to count
     * @param many how many
     */
    private void count(String what, int amount) {
        String name = "requests." + requestClass().partner() + "." + what;
        services().node().metrics().counter(name).inc(amount);
    }

    /** Gives up an upstream that has been silent for too long. */
    private void checkSilence() {
        if (!isCurrent(mAttempt)) {
            return;
        }
        long silent = now() - mLastProgressNanos;
        switch (currentStage()) {
            case PREFILL -> abandonAfter(silent, PREFILL_TIMEOUT_NANOS, "no prefill");
            case TRANSFER -> abandonAfter(silent, TRANSFER_TIMEOUT_NANOS, "no first token");
            case DECODE -> abandonAfter(silent, TOKEN_TIMEOUT_NANOS, "no next token");
            default -> {
                // nothing is waited for
            }
        }
    }

    /**
     * Gives up if a silence is too long.
     *
     * @param silent how long it has lasted, nanoseconds
     * @param most how long it may last
     * @param what what did not come
     */
    private void abandonAfter(long silent, long timeout, String missing) {
        if (silent > timeout) {
            count("given-up");
            AttemptEnd end = AttemptEnd.lost(missing + " from " + currentUpstream());
            onAttemptEnd(currentStage() == Stage.PREFILL ? end : endAfterPrefill(end));
        }
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
            exchange().answer(Answers.json(200, body(answer)));
            return;
        }
        if (!exchange().begun()) {
            exchange().begin(200, streamHeaders());
            exchange().write(answerEvent(answer));
        }
        exchange().write(END_MARK);
        exchange().end();
    }

    /** {@inheritDoc} */
    @Override
    protected void sendTruncation(ResultCode code, String detail) {
        String error = new String(Json.bytes(Answers.refusalBody(code, detail)));
        byte[] event = ("data: " + error + "\n\n").getBytes(StandardCharsets.UTF_8);
        exchange().write(event);
        exchange().cut();
    }

    /**
     * Returns the headers of a streamed answer.
     *
     * @return new headers
     */
    private DefaultHttpHeaders streamHeaders() {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        headers.set("X-Request-Id", id().value());
        return headers;
    }

    /**
     * Returns a kept answer as one event.
     *
     * @param answer the answer
     * @return the event's bytes
     */
    private byte[] answerEvent(StoredAnswer answer) {
        String json = new String(Json.bytes(body(answer)), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns an answer as JSON.
     *
     * @param answer the answer
     * @return the body, for the JSON library
     */
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

    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds
     */
    private long now() {
        return services().node().nanos().getAsLong();
    }
}
