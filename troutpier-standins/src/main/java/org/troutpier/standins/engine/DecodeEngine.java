package org.troutpier.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.Fault;
import org.troutpier.standins.fault.StandinServer;

/**
 * A decode engine with continuous batching: one step gives every running request a token and takes
 * longer the more requests run. Confined to one event loop, so the group it is given must have one
 * thread. Invariant: never more requests held than there are slots.
 */
public final class DecodeEngine implements AutoCloseable {

    /** The status of a refusal for want of room. */
    private static final int FULL = 429;

    /** The status of a refusal by a leaving engine. */
    private static final int LEAVING = 503;

    /** The status where the prefill's result cannot be fetched. */
    private static final int GONE = 410;

    /** How long a transfer may take, milliseconds. */
    private static final int IMPORT_MILLIS = 20_000;

    /** The end mark of a stream. */
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** What the engine costs. */
    private final DecodeModel mModel;

    /** The one loop that everything runs on. */
    private final EventLoop mLoop;

    /** Fetches results from prefill engines. */
    private final HttpClient mCalls;

    /** The server. */
    private final StandinServer mServer;

    /** What is held, by request id. */
    private final Map<String, Sequence> mHeld = new LinkedHashMap<>();

    /** Whether a step is under way. */
    private boolean mStepping;

    /** The most ever held at once. */
    private int mMostHeld;

    /** The load as published. */
    private Map<String, Object> mPublishedLoad;

    /** One request that holds memory here. */
    private static final class Sequence {

        /** What was asked. */
        private final JsonNode mAsked;

        /** The way to answer. */
        private final HttpExchange mExchange;

        /** The prompt's mark, once imported. */
        private String mMark;

        /** The index of the next token in the whole answer. */
        private int mIndex;

        /** How many tokens are still to come. */
        private int mLeft;

        /** Tells this run's answer from another run's. */
        private final String mRun = String.format("%08x", ThreadLocalRandom.current().nextInt());

        /**
         * Creates a sequence.
         *
         * @param asked what was asked
         * @param exchange the way to answer
         */
        Sequence(JsonNode asked, HttpExchange exchange) {
            mAsked = asked;
            mExchange = exchange;
            mLeft = Math.max(1, asked.path("max_tokens").asInt());
        }

        /**
         * Returns the request's id.
         *
         * @return the id
         */
        String id() {
            return mAsked.path("request_id").asText();
        }
    }

    /**
     * Creates and starts an engine.
     *
     * @param name the engine's name
     * @param address where to listen
     * @param model what it costs
     * @param loops a group of one thread
     */
    public DecodeEngine(String name, Address address, DecodeModel model, EventLoopGroup loops) {
        mModel = model;
        mLoop = (EventLoop) loops.next();
        mCalls = new HttpClient(loops);
        mPublishedLoad = load();
        mServer = new StandinServer(name, address, loops, server -> this::handle);
        mLoop.scheduleAtFixedRate(
                () -> mPublishedLoad = load(), 0, model.loadLagMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the load as it is now.
     *
     * @return what is published next
     */
    private Map<String, Object> load() {
        boolean leaving = mServer != null && mServer.faults().on(Fault.LEAVING);
        return Map.of("running", mHeld.size(), "slots", mModel.slots(), "leaving", leaving);
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/v1/decode" -> decode(exchange);
            case "/v1/cancel" -> cancel(exchange);
            case "/v1/holding" -> exchange.answer(HttpResponses.json(200, holding()));
            case "/v1/load" -> exchange.answer(HttpResponses.json(200, mPublishedLoad));
            case "/v1/stats" ->
                    exchange.answer(
                            HttpResponses.json(
                                    200, Map.of("held", mHeld.size(), "most_held", mMostHeld)));
            case "/v1/orders" -> EngineOrders.answer(exchange, mServer);
            default -> StandinServer.unknown(exchange);
        }
    }

    /**
     * Takes a decode or refuses it as not started.
     *
     * @param exchange the request
     */
    private void decode(HttpExchange exchange) {
        if (mServer.faults().on(Fault.LEAVING)) {
            exchange.answer(HttpResponses.json(LEAVING, Map.of("started", false, "leaving", true)));
            return;
        }
        if (mServer.faults().on(Fault.FULL) || mHeld.size() >= mModel.slots()) {
            exchange.answer(HttpResponses.json(FULL, Map.of("started", false)));
            return;
        }
        Sequence sequence = new Sequence(Json.read(exchange.body(), JsonNode.class), exchange);
        mHeld.put(sequence.id(), sequence);
        mMostHeld = Math.max(mMostHeld, mHeld.size());
        if (mModel.noticesClose()) {
            exchange.onDisconnect(() -> mHeld.remove(sequence.id(), sequence));
        }
        String url =
                "http://"
                        + sequence.mAsked.path("kv_source").asText()
                        + "/kv/"
                        + sequence.mAsked.path("kv_handle").asText();
        mCalls.call(HttpCall.of("GET", url).withTimeout(IMPORT_MILLIS))
                .whenComplete((reply, failure) -> mLoop.execute(() -> imported(sequence, reply)));
    }

    /**
     * Goes on once the prefill's result is here or cannot be had.
     *
     * @param sequence the request
     * @param reply the prefill engine's answer, or null
     */
    private void imported(Sequence sequence, HttpReply reply) {
        if (mHeld.get(sequence.id()) != sequence) {
            sequence.mExchange.abort();
            return;
        }
        if (reply == null || !reply.isSuccessful()) {
            mHeld.remove(sequence.id());
            sequence.mExchange.answer(
                    HttpResponses.json(GONE, Map.of("started", false, "reason", "kv-gone")));
            return;
        }
        JsonNode kv = reply.as(JsonNode.class);
        sequence.mMark = kv.path("mark").asText();
        sequence.mIndex = kv.path("first_index").asInt();
        mServer.ran().add(sequence.id(), sequence.mAsked.path("call").asText(""), "started");
        mServer.events().record("decode-started", sequence.id(), "");
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "text/event-stream");
        headers.set("X-Request-Id", shownId(sequence));
        sequence.mExchange.begin(200, headers);
        if (!mStepping) {
            mStepping = true;
            scheduleStep();
        }
    }

    /** Plans the next step. */
    private void scheduleStep() {
        long micros = mModel.stepMicros() + (long) mModel.perRequestMicros() * mHeld.size();
        mLoop.schedule(this::step, micros, TimeUnit.MICROSECONDS);
    }

    /** Gives every running request a token. */
    private void step() {
        List<Sequence> running = new ArrayList<>();
        mHeld.values().stream().filter(held -> held.mMark != null).forEach(running::add);
        running.forEach(this::emit);
        mStepping = !running.isEmpty();
        if (mStepping) {
            scheduleStep();
        }
    }

    /**
     * Sends one token.
     *
     * @param sequence the request
     */
    private void emit(Sequence sequence) {
        int cutAfter = mServer.faults().amount(Fault.CUT);
        if (mServer.faults().on(Fault.CUT) && sequence.mIndex >= cutAfter) {
            mHeld.remove(sequence.id());
            sequence.mExchange.abort();
            return;
        }
        sequence.mLeft--;
        String text = text(sequence);
        String finish = sequence.mLeft == 0 ? "\"length\"" : "null";
        String event =
                "data: {\"id\":\""
                        + shownId(sequence)
                        + "\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\""
                        + text
                        + "\",\"finish_reason\":"
                        + finish
                        + "}]}\n\n";
        sequence.mExchange.write(event.getBytes(StandardCharsets.UTF_8));
        if (sequence.mLeft == 0) {
            mHeld.remove(sequence.id());
            mServer.ran().add(sequence.id(), "", "finished");
            mServer.events().record("decode-done", sequence.id(), "");
            sequence.mExchange.write(DONE);
            sequence.mExchange.end();
        }
    }

    /**
     * Makes the next token's text. The first of an answer names the run, so that two runs of one
     * request can be told apart.
     *
     * @param sequence the request
     * @return the text
     */
    private static String text(Sequence sequence) {
        int index = sequence.mIndex++;
        String token = PrefixBlocks.token(sequence.mMark, index);
        return index > 0 ? token : token.trim() + "/" + sequence.mRun + " ";
    }

    /**
     * Returns the id that the engine shows, which a fault can make another's.
     *
     * @param sequence the request
     * @return the id
     */
    private String shownId(Sequence sequence) {
        return mServer.faults().on(Fault.WRONG_ID) ? "somebody-else" : sequence.id();
    }

    /**
     * Cancels a request.
     *
     * @param exchange the order to cancel
     */
    private void cancel(HttpExchange exchange) {
        String id = Json.read(exchange.body(), JsonNode.class).path("request_id").asText();
        Sequence sequence = mHeld.remove(id);
        if (sequence != null) {
            mServer.ran().add(id, "", "cancelled");
            mServer.events().record("decode-cancelled", id, "");
            sequence.mExchange.abort();
        }
        mServer.acknowledge(exchange, HttpResponses.json(200, Map.of("held", sequence != null)));
    }

    /**
     * Lists what is held.
     *
     * @return the requests and their owners
     */
    private List<Map<String, String>> holding() {
        return mHeld.values().stream()
                .map(
                        held ->
                                Map.of(
                                        "request_id",
                                        held.id(),
                                        "owner",
                                        held.mAsked.path("owner").asText()))
                .toList();
    }

    /**
     * Returns the server.
     *
     * @return the server
     */
    public StandinServer server() {
        return mServer;
    }

    /** Stops listening. */
    @Override
    public void close() {
        mServer.close();
        mCalls.close();
    }
}
