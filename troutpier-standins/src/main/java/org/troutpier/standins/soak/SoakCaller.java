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
 * One caller: it asks, sometimes goes away in the middle, and asks again with the same key, also at
 * two routers at once. Confined to its own thread.
 */
final class SoakCaller implements Runnable {

    /** How long an ask may take, milliseconds. */
    private static final int ASK_MILLIS = 40_000;

    /** How long a caller that must have its answer goes on after the faults, nanoseconds. */
    private static final long PATIENCE_NANOS = 60_000_000_000L;

    /** How long a caller waits before it asks again, milliseconds. */
    private static final int AGAIN_MILLIS = 150;

    /** Sends the requests. */
    private final HttpClient mCalls;

    /** The routers. */
    private final List<Address> mRouters;

    /** What was told. */
    private final SoakLedger mLedger;

    /** Whether new requests are made. */
    private final AtomicBoolean mGoOn;

    /** The source of chance. */
    private final UniformRandomProvider mRandom;

    /** This caller's name. */
    private final String mName;

    /** How many requests it has made. */
    private int mMade;

    /** What kinds of requests there are. */
    private enum Kind {
        /** A repair note: unkeyed, may be repeated. */
        NOTE,
        /** A summary: keyed, exactly once, must arrive. */
        SUMMARY,
        /** An order: keyed, must not be repeated. */
        KEYED_ORDER,
        /** An order without a key. */
        ORDER,
        /** A status call. */
        STATUS
    }

    /**
     * Creates a caller.
     *
     * @param calls sends the requests
     * @param routers the routers
     * @param ledger what was told
     * @param goOn whether new requests are made
     * @param name its name
     * @param seed fixes what it does
     */
    SoakCaller(
            HttpClient calls,
            List<Address> routers,
            SoakLedger ledger,
            AtomicBoolean goOn,
            String name,
            long seed) {
        mCalls = calls;
        mRouters = routers;
        mLedger = ledger;
        mGoOn = goOn;
        mName = name;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        Kind[] kinds = Kind.values();
        while (mGoOn.get()) {
            request(kinds[mRandom.nextInt(kinds.length)]);
        }
    }

    /**
     * Makes one request and asks until it is settled.
     *
     * @param kind what kind
     */
    private void request(Kind kind) {
        final int mostTokens = 40;
        String id = mName + "-" + mMade++ + "-" + kind.name().toLowerCase(java.util.Locale.ROOT);
        int tokens = 1 + mRandom.nextInt(mostTokens);
        boolean once = kind == Kind.ORDER || kind == Kind.KEYED_ORDER;
        mLedger.request(id, once);
        boolean mustArrive = kind == Kind.SUMMARY || kind == Kind.NOTE;
        long end = 0;
        for (int ask = 0; ; ask++) {
            Ask first = ask(kind, id, ask, tokens);
            if (kind == Kind.SUMMARY && mRandom.nextInt(4) == 0) {
                ask++;
                settle(kind, id, ask(kind, id, ask, tokens), tokens);
            }
            boolean settled = settle(kind, id, first, tokens);
            if (settled || !mustArrive && (kind != Kind.KEYED_ORDER || mRandom.nextBoolean())) {
                return;
            }
            if (!mGoOn.get() && end == 0) {
                end = System.nanoTime() + PATIENCE_NANOS;
            }
            if (end != 0 && System.nanoTime() > end) {
                mLedger.violation(
                        id
                                + " never arrived; last told "
                                + first.answer().header(HttpResponses.CODE_HEADER));
                return;
            }
            pause();
        }
    }

    /** Waits a little before asking again. */
    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Asks once.
     *
     * @param kind what kind
     * @param id the request
     * @param number the ask's number
     * @param tokens how many tokens it asks for
     * @return the ask under way
     */
    private Ask ask(Kind kind, String id, int number, int tokens) {
        mLedger.ask();
        String mark = id + SoakLedger.ASK_SEPARATOR + number;
        Address router = mRouters.get(mRandom.nextInt(mRouters.size()));
        boolean completion = kind == Kind.NOTE || kind == Kind.SUMMARY;
        String path = completion ? "/v1/completions" : "/services/status/orders";
        String token = kind == Kind.SUMMARY ? "trust-caller" : "association-caller";
        HttpCall call =
                HttpCall.of("POST", router.url(path))
                        .withHeader("Authorization", "Bearer " + token)
                        .withHeader("X-Call", mark)
                        .withHeader("Troutpier-Class", requestClass(kind))
                        .withTimeout(ASK_MILLIS);
        if (kind == Kind.SUMMARY || kind == Kind.KEYED_ORDER) {
            call = call.withHeader("Idempotency-Key", id);
        }
        call =
                completion
                        ? call.withJson(Map.of("prompt", id, "max_tokens", tokens, "stream", true))
                        : call.withBody(id.getBytes(StandardCharsets.UTF_8));
        GatheredAnswer answer = new GatheredAnswer();
        Ask ask = new Ask(mark, answer, mCalls.send(call, answer));
        final int cancelOneIn = 8;
        final int cancelWithin = 400;
        if (mRandom.nextInt(cancelOneIn) == 0) {
            ask.leaveAfter(mRandom.nextInt(cancelWithin));
        }
        return ask;
    }

    /**
     * Returns the class of a kind.
     *
     * @param kind the kind
     * @return the class's name
     */
    private static String requestClass(Kind kind) {
        return switch (kind) {
            case NOTE -> "repair-note";
            case SUMMARY -> "summary";
            case STATUS -> "machine-status";
            default -> "parts-status";
        };
    }

    /**
     * Waits for an ask and judges what it was told.
     *
     * @param kind what kind
     * @param id the request
     * @param ask the ask
     * @param tokens how many tokens it asked for
     * @return whether it got its whole answer
     */
    private boolean settle(Kind kind, String id, Ask ask, int tokens) {
        ask.await();
        if ("not-run".equals(ask.family())) {
            mLedger.toldNotRun(ask.mark());
        }
        boolean completion = kind == Kind.NOTE || kind == Kind.SUMMARY;
        String body = ask.answer().body();
        if (!completion) {
            boolean whole = ask.answer().ended() && ask.answer().status() == 200;
            if (whole && !body.contains(id)) {
                mLedger.violation(id + " got another's answer: " + body);
            }
            return whole;
        }
        boolean whole = ask.answer().ended() && body.contains("data: [DONE]");
        String text = text(body);
        if (!text.isEmpty() && !text.replaceAll("/[0-9a-f]+", "").equals(expected(id, text))) {
            mLedger.violation(id + " got a wrong answer: " + text);
        }
        if (whole) {
            int got = text.split(" ").length;
            if (got != tokens) {
                mLedger.violation(id + " got " + got + " of " + tokens + " tokens as whole");
            }
            if (kind == Kind.SUMMARY) {
                mLedger.answered(id, text.split("[/ ]")[1]);
            }
        }
        return whole;
    }

    /**
     * Puts the text of a stream together.
     *
     * @param body the stream
     * @return the text of its tokens
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
     * Returns what the text must be.
     *
     * @param prompt the prompt
     * @param text the text, for its length
     * @return as many tokens of the right answer
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
     * One ask under way.
     *
     * @param mark names the ask
     * @param answer what came of it
     * @param ongoing the exchange
     */
    private record Ask(String mark, GatheredAnswer answer, HttpClient.OngoingCall ongoing) {

        /**
         * Leaves after a while.
         *
         * @param millis the while
         */
        void leaveAfter(int millis) {
            CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS)
                    .execute(
                            () -> {
                                ongoing.abort();
                                answer.leave();
                            });
        }

        /** Waits until it is over. */
        void await() {
            try {
                if (!answer.await(ASK_MILLIS * 2)) {
                    ongoing.abort();
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        /**
         * Returns what is known of the work, as told.
         *
         * @return the family of the result code, or nothing
         */
        String family() {
            return answer.header(HttpResponses.FAMILY_HEADER);
        }
    }
}
