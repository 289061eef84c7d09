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
import org.troutpier.daemon.upstream.Engines;
import org.troutpier.daemon.upstream.TokenEvent;

/**
 * The handling of a completion: prefill, transfer, decode, answer. Confined to the event loop of
 * its caller's connection. Invariant: the end mark is sent only after the decode engine's own end
 * mark, and an answer that was cut is continued from the token where it broke off.
 */
public final class CompletionExchange extends RequestExchange {

    /** How often a silent upstream is looked for, milliseconds. */
    private static final long WATCH_MILLIS = 250;

    /** How long a prefill may take beyond what is predicted, nanoseconds. */
    private static final long PREFILL_SILENCE_NANOS = 4_000_000_000L;

    /** How long a transfer may take up to the first token, nanoseconds. */
    private static final long TRANSFER_SILENCE_NANOS = 2_000_000_000L;

    /** How long a decode may be silent between tokens, nanoseconds. */
    private static final long TOKEN_SILENCE_NANOS = 3_000_000_000L;

    /** How much may wait for a slow caller, bytes. */
    private static final long MOST_PENDING = 1024 * 1024;

    /** The end mark of a stream. */
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    /** What was asked. */
    private final CompletionOrder mOrder;

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
    private Grant mUsed;

    /** The current attempt. */
    private String mAttempt = "";

    /** Whether the prefill engine may hold something of the current attempt. */
    private boolean mPrefillHolds;

    /** Whether the decode engine may hold something of the current attempt. */
    private boolean mDecodeHolds;

    /** When the current step began or the last token came. */
    private long mSince;

    /** When the first token came, or 0. */
    private long mFirstNanos;

    /** Looks for a silent upstream. */
    private Future<?> mWatch;

    /**
     * What a caller asks of a model. Immutable and thread safe.
     *
     * @param prompt the prompt
     * @param maxTokens how many tokens at most
     * @param stream whether the answer is streamed
     */
    public record CompletionOrder(String prompt, int maxTokens, boolean stream) {}

    /**
     * Creates an exchange.
     *
     * @param services what it calls on
     * @param arrival the request as it arrived
     * @param order what was asked
     */
    public CompletionExchange(ExchangeServices services, Arrival arrival, CompletionOrder order) {
        super(services, arrival);
        mOrder = order;
        mBlocks = PromptBlocks.of(order.prompt());
    }

    /** {@inheritDoc} */
    @Override
    protected Ticket ticket(long arrivalNanos, Set<UpstreamId> avoid, Ticket.Answer answer) {
        return new Ticket(
                id(),
                declared(),
                mBlocks,
                PromptBlocks.tokens(mOrder.prompt()),
                arrivalNanos,
                avoid,
                answer);
    }

    /** {@inheritDoc} */
    @Override
    protected void run(Grant grant, String attempt) {
        mUsed = grant;
        mAttempt = attempt;
        mTokensBefore = mTokens;
        stage(Stage.PREFILL);
        where(grant.prefill().id().value());
        event("prefill", grant.prefill().id() + " for " + grant.main().id());
        mSince = now();
        mPrefillHolds = true;
        mWatch =
                exchange()
                        .loop()
                        .scheduleWithFixedDelay(
                                this::watch, WATCH_MILLIS, WATCH_MILLIS, TimeUnit.MILLISECONDS);
        Engines.PrefillOrder order =
                new Engines.PrefillOrder(
                        attempt,
                        services().node().incarnation(),
                        declared().partner().value(),
                        arrival().call(),
                        mOrder.prompt(),
                        mText.toString(),
                        mTokens);
        mAbort =
                services()
                        .engines()
                        .prefill(grant.prefill(), order, leftMillis(), new Prefilled(attempt));
    }

    /**
     * Receives the prefill engine's answer on any thread and passes on what is still of interest.
     */
    private final class Prefilled implements Engines.PrefillListener {

        /** The attempt that this belongs to. */
        private final String mOf;

        /**
         * Creates a listener.
         *
         * @param attempt the attempt that this belongs to
         */
        Prefilled(String attempt) {
            mOf = attempt;
        }

        /** {@inheritDoc} */
        @Override
        public void onResult(String handle, int lifeMillis) {
            onLoop(
                    () -> {
                        if (current(mOf)) {
                            decode(handle);
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onPrefillEnd(AttemptEnd end) {
            onLoop(
                    () -> {
                        if (current(mOf)) {
                            mPrefillHolds = !end.notStarted();
                            attemptEnded(end);
                        }
                    });
        }
    }

    /**
     * Goes on with the decode.
     *
     * @param handle the prefill's result
     */
    private void decode(String handle) {
        Grant grant = mUsed;
        long took = now() - mSince;
        services()
                .node()
                .control()
                .execute(() -> services().controller().prefillEnded(grant, took));
        stage(Stage.TRANSFER);
        where(grant.main().id().value());
        event("decode", grant.main().id().value());
        mSince = now();
        mDecodeHolds = true;
        Engines.DecodeOrder order =
                new Engines.DecodeOrder(
                        mAttempt,
                        services().node().incarnation(),
                        arrival().call(),
                        grant.prefill().address().toString(),
                        handle,
                        mOrder.maxTokens() - mTokens);
        mAbort =
                services()
                        .engines()
                        .decode(grant.main(), order, leftMillis(), new Decoding(mAttempt));
    }

    /**
     * Receives the decode engine's events on any thread and passes on what is still of interest.
     */
    private final class Decoding implements Engines.DecodeListener {

        /** The attempt that this belongs to. */
        private final String mOf;

        /**
         * Creates a listener.
         *
         * @param attempt the attempt that this belongs to
         */
        Decoding(String attempt) {
            mOf = attempt;
        }

        /** {@inheritDoc} */
        @Override
        public void onToken(TokenEvent event) {
            onLoop(
                    () -> {
                        if (current(mOf)) {
                            token(event);
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onWhole() {
            onLoop(
                    () -> {
                        if (current(mOf)) {
                            whole();
                        }
                    });
        }

        /** {@inheritDoc} */
        @Override
        public void onDecodeEnd(AttemptEnd end) {
            onLoop(
                    () -> {
                        if (current(mOf)) {
                            mDecodeHolds = !end.notStarted();
                            attemptEnded(afterPrefill(end));
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
    private static AttemptEnd afterPrefill(AttemptEnd end) {
        boolean certain = end.code().family() == ResultCode.Family.RAN_AND_FAILED;
        return new AttemptEnd(
                false,
                end.leaving(),
                end.unreachable(),
                certain ? end.code() : ResultCode.UPSTREAM_FAILED,
                end.detail());
    }

    /**
     * Takes a token.
     *
     * @param event the token
     */
    private void token(TokenEvent event) {
        long now = now();
        if (mTokens == mTokensBefore) {
            firstOfAttempt(now);
        }
        mSince = now;
        mTokens++;
        mText.append(event.text());
        if (mOrder.stream()) {
            exchange().write(shown(event));
            if (exchange().pendingBytes() > MOST_PENDING) {
                refuse(ResultCode.CALLER_TOO_SLOW, "the caller reads too slowly");
            }
        }
    }

    /**
     * Takes note of the first token of an attempt.
     *
     * @param now the time
     */
    private void firstOfAttempt(long now) {
        stage(Stage.DECODE);
        event("first-token", "");
        mPrefillHolds = false;
        Grant grant = mUsed;
        long step = now - mSince;
        services().node().control().execute(() -> services().controller().firstToken(grant, step));
        if (mFirstNanos == 0) {
            mFirstNanos = now;
        }
        if (mOrder.stream()) {
            exchange().begin(200, streamHeaders());
        }
    }

    /**
     * Returns an event as the caller sees it: with the request's id, whichever attempt it is of.
     *
     * @param event the event
     * @return its bytes
     */
    private byte[] shown(TokenEvent event) {
        if (mAttempt.equals(id().value())) {
            return event.bytes();
        }
        String text = new String(event.bytes(), StandardCharsets.UTF_8);
        return text.replace(mAttempt, id().value()).getBytes(StandardCharsets.UTF_8);
    }

    /** Goes on when the decode engine's end mark has come. */
    private void whole() {
        mDecodeHolds = false;
        mPrefillHolds = false;
        count("tokens", mTokens);
        goodput();
        complete(new StoredAnswer(200, Map.of(), mText.toString(), mTokens, null), true);
    }

    /** Counts the request as good if it met both its targets. */
    private void goodput() {
        final long nanosPerMilli = 1_000_000L;
        long first = (mFirstNanos - arrivalNanos()) / nanosPerMilli;
        long between = mTokens < 2 ? 0 : (mSince - mFirstNanos) / (mTokens - 1) / nanosPerMilli;
        boolean firstInTime = !declared().hasTarget() || first <= declared().firstTokenMillis();
        boolean restInTime =
                declared().perTokenMillis() == 0 || between <= declared().perTokenMillis();
        count(firstInTime && restInTime ? "good" : "late");
    }

    /**
     * Counts several.
     *
     * @param what what to count
     * @param many how many
     */
    private void count(String what, int many) {
        String name = "requests." + declared().partner() + "." + what;
        services().node().metrics().counter(name).inc(many);
    }

    /** Gives up an upstream that has been silent for too long. */
    private void watch() {
        if (!current(mAttempt)) {
            return;
        }
        long silent = now() - mSince;
        switch (currentStage()) {
            case PREFILL -> giveUpAfter(silent, PREFILL_SILENCE_NANOS, "no prefill");
            case TRANSFER -> giveUpAfter(silent, TRANSFER_SILENCE_NANOS, "no first token");
            case DECODE -> giveUpAfter(silent, TOKEN_SILENCE_NANOS, "no next token");
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
    private void giveUpAfter(long silent, long most, String what) {
        if (silent > most) {
            count("given-up");
            AttemptEnd end = AttemptEnd.lost(what + " from " + currentUpstream());
            attemptEnded(currentStage() == Stage.PREFILL ? end : afterPrefill(end));
        }
    }

    /** {@inheritDoc} */
    @Override
    protected UpstreamId blamed(Grant grant) {
        return currentStage() == Stage.PREFILL ? grant.prefill().id() : grant.main().id();
    }

    /** {@inheritDoc} */
    @Override
    protected void stopAttempt() {
        mAbort.abort();
        mAbort = () -> {};
        if (mWatch != null) {
            mWatch.cancel(false);
        }
        Grant grant = mUsed;
        String attempt = mAttempt;
        if (mPrefillHolds) {
            mPrefillHolds = false;
            services()
                    .node()
                    .control()
                    .execute(() -> services().cancels().cancel(grant.prefill(), attempt));
        }
        if (mDecodeHolds) {
            mDecodeHolds = false;
            services()
                    .node()
                    .control()
                    .execute(() -> services().cancels().cancel(grant.main(), attempt));
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void sendWhole(StoredAnswer answer) {
        if (!mOrder.stream()) {
            exchange().answer(HttpResponses.json(200, body(answer)));
            return;
        }
        if (!exchange().hasBegun()) {
            exchange().begin(200, streamHeaders());
            exchange().write(wholeEvent(answer));
        }
        exchange().write(DONE);
        exchange().end();
    }

    /** {@inheritDoc} */
    @Override
    protected void sendCut(ResultCode code, String detail) {
        String error = new String(Json.bytes(HttpResponses.refusalBody(code, detail)));
        byte[] event = ("data: " + error + "\n\n").getBytes(StandardCharsets.UTF_8);
        exchange().write(event);
        exchange().abort();
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
    private byte[] wholeEvent(StoredAnswer answer) {
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
