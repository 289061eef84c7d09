package org.troutpier.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpReply;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.StandinServer;

/**
 * The platform's list of live and leaving instances. It asks each registered instance's {@code
 * /healthz} and publishes what it heard with a lag. Thread safe by its lock.
 */
public final class InstanceListStandin implements AutoCloseable {

    /** How often instances are asked, milliseconds. */
    private static final int ASK_MILLIS = 250;

    /** How long an instance may take to answer, milliseconds. */
    private static final int TIMEOUT_MILLIS = 800;

    /** How many silent rounds make an instance gone. */
    private static final int SILENT_ROUNDS = 3;

    /** The instances that were registered, by id. */
    private final Map<String, Watched> mWatched = new ConcurrentHashMap<>();

    /** How late the list is, milliseconds. */
    private final int mLagMillis;

    /** Carries the traffic. */
    private final EventLoopGroup mLoops;

    /** Asks the instances. */
    private final HttpClient mCalls;

    /** What is published now. */
    private volatile List<Entry> mPublished = List.of();

    /** The server. */
    private final StandinServer mServer;

    /**
     * One line of the list.
     *
     * @param id the instance
     * @param incarnation which start of it, empty where it does not say
     * @param peer where its peers reach it, empty where it has none
     * @param hall its hall
     * @param state {@code live}, {@code leaving} or {@code gone}
     */
    public record Entry(String id, String incarnation, String peer, String hall, String state) {}

    /** An instance that is asked. Guarded by its own lock. */
    private static final class Watched {

        /** Where it is asked. */
        private final String mUrl;

        /** What it said last. */
        private Entry mLast;

        /** How many rounds it has been silent. */
        private int mSilent;

        /**
         * Creates an instance.
         *
         * @param id its id
         * @param url where it is asked
         */
        Watched(String id, String url) {
            mUrl = url;
            mLast = new Entry(id, "", "", "", "gone");
        }

        /**
         * Takes an answer.
         *
         * @param node the answer
         */
        synchronized void heard(JsonNode node) {
            mSilent = 0;
            mLast =
                    new Entry(
                            mLast.id(),
                            node.path("incarnation").asText(""),
                            node.path("peer").asText(""),
                            node.path("hall").asText(""),
                            node.path("state").asText("live"));
        }

        /** Takes note of a silent round. */
        synchronized void silent() {
            mSilent++;
            if (mSilent >= SILENT_ROUNDS) {
                mLast =
                        new Entry(
                                mLast.id(),
                                mLast.incarnation(),
                                mLast.peer(),
                                mLast.hall(),
                                "gone");
            }
        }

        /**
         * Returns what was said last.
         *
         * @return the line
         */
        synchronized Entry last() {
            return mLast;
        }
    }

    /**
     * Creates and starts a list.
     *
     * @param address where to listen
     * @param lagMillis how late the list is
     * @param loops carries the traffic
     */
    public InstanceListStandin(Address address, int lagMillis, EventLoopGroup loops) {
        mLagMillis = lagMillis;
        mLoops = loops;
        mCalls = new HttpClient(loops);
        mServer = new StandinServer("instances", address, loops, server -> this::handle);
        loops.next().scheduleAtFixedRate(this::ask, 0, ASK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Asks every instance once and publishes what was known, after the lag. */
    private void ask() {
        for (Watched watched : mWatched.values()) {
            mCalls.call(HttpCall.of("GET", watched.mUrl).withTimeout(TIMEOUT_MILLIS))
                    .whenComplete((reply, failure) -> take(watched, reply));
        }
        List<Entry> now = new ArrayList<>();
        mWatched.values().forEach(watched -> now.add(watched.last()));
        mLoops.next().schedule(() -> mPublished = now, mLagMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes an instance's answer or silence.
     *
     * @param watched the instance
     * @param reply its answer, or null
     */
    private static void take(Watched watched, HttpReply reply) {
        if (reply != null && reply.isSuccessful()) {
            watched.heard(reply.as(JsonNode.class));
        } else {
            watched.silent();
        }
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        if (!exchange.path().equals("/instances")) {
            StandinServer.unknown(exchange);
        } else if (exchange.method().equals("GET")) {
            exchange.answer(HttpResponses.json(200, mPublished));
        } else if (exchange.method().equals("POST")) {
            JsonNode node = Json.read(exchange.body(), JsonNode.class);
            register(node.path("id").asText(), node.path("health").asText());
            exchange.answer(
                    HttpResponses.json(200, Map.of("registered", node.path("id").asText())));
        } else {
            mWatched.remove(exchange.query("id"));
            exchange.answer(HttpResponses.json(200, Map.of("removed", exchange.query("id"))));
        }
    }

    /**
     * Registers an instance.
     *
     * @param id the instance
     * @param healthUrl where it is asked
     */
    public void register(String id, String healthUrl) {
        mWatched.put(id, new Watched(id, healthUrl));
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
