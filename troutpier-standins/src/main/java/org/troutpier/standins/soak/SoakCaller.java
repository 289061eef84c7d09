package org.troutpier.standins.soak;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.engine.PrefixBlocks;
import org.troutpier.standins.load.GatheredAnswer;

/**
 * A caller that sends requests, aborts some of them midway and retries with the same key, sometimes
 * through two routers at once. Confined to its own thread.
 */
final class SoakCaller implements Runnable {

    /** Time-out of one attempt. */
    private static final int CALL_TIMEOUT_MILLIS = 40_000;

    /** How long a request that must complete is retried after the faults have ended. */
    private static final long DELIVERY_TIMEOUT_NANOS = 60_000_000_000L;

    /** Delay between two attempts of a request. */
    private static final int RETRY_DELAY_MILLIS = 150;

    private final HttpClient mCalls;

    private final List<Address> mRouters;

    /** Records the outcomes. */
    private final SoakLedger mLedger;

    /** Whether new requests are started. */
    private final AtomicBoolean mRunning;

    private final UniformRandomProvider mRandom;

    private final String mName;

    private int mRequestCount;

    /** Kinds of requests; the name is part of the request id. */
    private enum Kind {
        /** A completion without a key, which may run more than once. */
        NOTE,
        /** A completion with a key, which must be answered by exactly one run. */
        SUMMARY,
        /** A service call with a key, which must not run more than once. */
        KEYED_ORDER,
        /** A service call without a key, which must not run more than once. */
        ORDER,
        /** A service call that may run more than once. */
        STATUS
    }

    /**
     * Creates a caller.
     *
     * @param calls the HTTP client
     * @param routers the addresses of the routers
     * @param ledger records the outcomes
     * @param running cleared to stop new requests
     * @param name the name of the caller, a prefix of its request ids
     * @param seed the seed of the random generator
     */
    SoakCaller(
            HttpClient calls,
            List<Address> routers,
            SoakLedger ledger,
            AtomicBoolean running,
            String name,
            long seed) {
        mCalls = calls;
        mRouters = routers;
        mLedger = ledger;
        mRunning = running;
        mName = name;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        Kind[] kinds = Kind.values();
        while (mRunning.get()) {
            runRequest(kinds[mRandom.nextInt(kinds.length)]);
        }
    }

    /**
     * Runs one request and retries until it needs no further attempt.
     *
     * @param kind the kind of request
     */
    private void runRequest(Kind kind) {
        final int maxTokens = 40;
        String id =
                mName
                        + "-"
                        + mRequestCount++
                        + "-"
                        + kind.name().toLowerCase(java.util.Locale.ROOT);
        int tokens = 1 + mRandom.nextInt(maxTokens);
        boolean nonRepeatable = kind == Kind.ORDER || kind == Kind.KEYED_ORDER;
        mLedger.recordRequest(id, nonRepeatable);
        boolean mustComplete = kind == Kind.SUMMARY || kind == Kind.NOTE;
        long end = 0;
        for (int number = 0; ; number++) {
            Attempt first = sendAttempt(kind, id, number, tokens);
            if (kind == Kind.SUMMARY && mRandom.nextInt(4) == 0) {
                number++;
                checkOutcome(kind, id, sendAttempt(kind, id, number, tokens), tokens);
            }
            boolean completed = checkOutcome(kind, id, first, tokens);
            if (completed || !mustComplete && (kind != Kind.KEYED_ORDER || mRandom.nextBoolean())) {
                return;
            }
            if (!mRunning.get() && end == 0) {
                end = System.nanoTime() + DELIVERY_TIMEOUT_NANOS;
            }
            if (end != 0 && System.nanoTime() > end) {
                mLedger.recordViolation(
                        id
                                + " never completed; last code "
                                + first.answer().header(HttpResponses.CODE_HEADER));
                return;
            }
            awaitRetryDelay();
        }
    }

    private static void awaitRetryDelay() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends one attempt to a random router. Aborts one attempt in eight within 400 ms.
     *
     * @param kind the kind of request
     * @param id the id of the request
     * @param number the number of the attempt
     * @param tokens the number of tokens to request
     * @return the attempt in progress
     */
    private Attempt sendAttempt(Kind kind, String id, int number, int tokens) {
        mLedger.recordAttempt();
        String attemptId = id + SoakLedger.ATTEMPT_SEPARATOR + number;
        Address router = mRouters.get(mRandom.nextInt(mRouters.size()));
        boolean completion = kind == Kind.NOTE || kind == Kind.SUMMARY;
        String path = completion ? "/v1/completions" : "/services/status/orders";
        String token = kind == Kind.SUMMARY ? "trust-caller" : "association-caller";
        HttpCall call =
                HttpCall.of("POST", router.url(path))
                        .withHeader("Authorization", "Bearer " + token)
                        .withHeader("X-Call", attemptId)
                        .withHeader("Troutpier-Class", requestClass(kind))
                        .withTimeout(CALL_TIMEOUT_MILLIS);
        if (kind == Kind.SUMMARY || kind == Kind.KEYED_ORDER) {
            call = call.withHeader("Idempotency-Key", id);
        }
        call =
                completion
                        ? call.withJson(Map.of("prompt", id, "max_tokens", tokens, "stream", true))
                        : call.withBody(id.getBytes(StandardCharsets.UTF_8));
        GatheredAnswer answer = new GatheredAnswer();
        Attempt attempt = new Attempt(attemptId, answer, mCalls.send(call, answer));
        final int cancelOneIn = 8;
        final int cancelWithin = 400;
        if (mRandom.nextInt(cancelOneIn) == 0) {
            attempt.abortAfter(mRandom.nextInt(cancelWithin));
        }
        return attempt;
    }

    private static String requestClass(Kind kind) {
        return switch (kind) {
            case NOTE -> "repair-note";
            case SUMMARY -> "summary";
            case STATUS -> "machine-status";
            default -> "parts-status";
        };
    }

    /**
     * Waits for an attempt to end and checks its outcome.
     *
     * @param kind the kind of request
     * @param id the id of the request
     * @param attempt the attempt
     * @param tokens the number of tokens requested
     * @return whether the answer was complete
     */
    private boolean checkOutcome(Kind kind, String id, Attempt attempt, int tokens) {
        attempt.await();
        if ("not-run".equals(attempt.family())) {
            mLedger.recordNotRun(attempt.id());
        }
        boolean completion = kind == Kind.NOTE || kind == Kind.SUMMARY;
        String body = attempt.answer().body();
        if (!completion) {
            boolean complete = attempt.answer().ended() && attempt.answer().status() == 200;
            if (complete && !body.contains(id)) {
                mLedger.recordViolation(id + " got the answer of another request: " + body);
            }
            return complete;
        }
        boolean complete = attempt.answer().ended() && body.contains("data: [DONE]");
        String text = text(body);
        if (!text.isEmpty() && !text.replaceAll("/[0-9a-f]+", "").equals(expected(id, text))) {
            mLedger.recordViolation(id + " got a wrong answer: " + text);
        }
        if (complete) {
            int got = text.split(" ").length;
            if (got != tokens) {
                mLedger.recordViolation(
                        id
                                + " got "
                                + got
                                + " of "
                                + tokens
                                + " tokens in an answer marked complete");
            }
            if (kind == Kind.SUMMARY) {
                mLedger.recordAnswer(id, text.split("[/ ]")[1]);
            }
        }
        return complete;
    }

    /**
     * Concatenates the text of the events of a stream.
     *
     * @param body the stream
     * @return the concatenated text, complete events only
     */
    private static String text(String body) {
        StringBuilder text = new StringBuilder();
        final String field = "\"text\":\"";
        for (int at = body.indexOf(field); at >= 0; at = body.indexOf(field, at + 1)) {
            int from = at + field.length();
            int to = body.indexOf('"', from);
            text.append(body, from, to < 0 ? from : to);
        }
        return text.toString();
    }

    /**
     * Returns the text that the engines generate for a prompt.
     *
     * @param prompt the prompt
     * @param text the received text, which determines the number of tokens
     * @return the expected text of the same number of tokens
     */
    private static String expected(String prompt, String text) {
        StringBuilder expected = new StringBuilder();
        String mark = PrefixBlocks.mark(prompt);
        int tokens = text.split(" ").length;
        for (int index = 0; index < tokens; index++) {
            expected.append(PrefixBlocks.token(mark, index));
        }
        return expected.toString();
    }

    /**
     * One attempt in progress.
     *
     * @param id the id of the attempt
     * @param answer collects the answer
     * @param ongoing the HTTP call
     */
    private record Attempt(String id, GatheredAnswer answer, HttpClient.OngoingCall ongoing) {

        /**
         * Aborts the call after a delay, as a caller that disconnects.
         *
         * @param millis the delay
         */
        void abortAfter(int millis) {
            CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)
                    .execute(
                            () -> {
                                ongoing.abort();
                                answer.leave();
                            });
        }

        /** Waits until the answer has ended; aborts the call after twice its time-out. */
        void await() {
            try {
                if (!answer.await(CALL_TIMEOUT_MILLIS * 2)) {
                    ongoing.abort();
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        /**
         * Returns the family of the result code.
         *
         * @return the family, or an empty string when the answer has none
         */
        String family() {
            return answer.header(HttpResponses.FAMILY_HEADER);
        }
    }
}
