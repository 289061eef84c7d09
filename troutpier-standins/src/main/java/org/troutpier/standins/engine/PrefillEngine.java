package org.troutpier.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.Fault;
import org.troutpier.standins.fault.StandinServer;

/**
 * A prefill engine: one prefill at a time, a bounded prefix cache, results that expire, and an
 * outgoing link of limited rate. Confined to one event loop, so the group it is given must have one
 * thread.
 */
public final class PrefillEngine implements AutoCloseable {

    /** The status of a refusal for want of room. */
    private static final int FULL = 429;

    /** The status of a refusal by a leaving engine. */
    private static final int LEAVING = 503;

    /** The status of a result that is gone. */
    private static final int GONE = 410;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Nanoseconds in a microsecond. */
    private static final long NANOS_PER_MICRO = 1000;

    /** How many cache events are kept for those who ask. */
    private static final int EVENTS_KEPT = 4096;

    /** What the engine costs. */
    private final PrefillModel mModel;

    /** The one loop that everything runs on. */
    private final EventLoop mLoop;

    /** The server. */
    private final StandinServer mServer;

    /** What waits or runs; the first runs. */
    private final Deque<Job> mQueue = new ArrayDeque<>();

    /** The results that were not fetched yet, by handle. */
    private final Map<String, Job> mResults = new HashMap<>();

    /** The prefix blocks in the cache, oldest use first. */
    private final LinkedHashMap<Long, Boolean> mCache = new LinkedHashMap<>(16, 0.75f, true);

    /** The blocks that were stored, as cache events. */
    private final Deque<CacheEvent> mEvents = new ArrayDeque<>();

    /** The work done and wasted, by partner. */
    private final Map<String, Tally> mTallies = new LinkedHashMap<>();

    /** The number of the next result and the next event. */
    private long mNext = 1;

    /** When the link is free, by {@link System#nanoTime()}. */
    private long mLinkFreeNanos = System.nanoTime();

    /** The load as published. */
    private Map<String, Object> mPublishedLoad = Map.of("running", 0, "leaving", false);

    /** One prefill. */
    private static final class Job {

        /** What was asked. */
        private final JsonNode mAsked;

        /** The way to answer. */
        private final HttpExchange mExchange;

        /** The whole text to prefill. */
        private final String mText;

        /** How many tokens were computed, once done. */
        private int mComputed;

        /** Whether the request was cancelled. */
        private boolean mCancelled;

        /** Whether the result is on its way to a decode engine. */
        private boolean mMoving;

        /**
         * Creates a job.
         *
         * @param asked what was asked
         * @param exchange the way to answer
         */
        Job(JsonNode asked, HttpExchange exchange) {
            mAsked = asked;
            mExchange = exchange;
            mText = asked.path("prompt").asText() + asked.path("resume_text").asText("");
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
     * One block that was stored in the cache.
     *
     * @param number the event's number
     * @param block the block's name
     * @param atNanos when
     */
    private record CacheEvent(long number, long block, long atNanos) {}

    /** What was computed and wasted for one partner. */
    private static final class Tally {

        /** Tokens computed. */
        private long mComputed;

        /** Tokens computed whose result nobody fetched. */
        private long mWasted;
    }

    /**
     * Creates and starts an engine.
     *
     * @param name the engine's name
     * @param address where to listen
     * @param model what it costs
     * @param loops a group of one thread
     */
    public PrefillEngine(String name, Address address, PrefillModel model, EventLoopGroup loops) {
        mModel = model;
        mLoop = (EventLoop) loops.next();
        mServer = new StandinServer(name, address, loops, server -> this::handle);
        mLoop.scheduleAtFixedRate(
                this::publishLoad, 0, model.eventLagMillis(), TimeUnit.MILLISECONDS);
    }

    /** Publishes the load as it is now; who asks sees it until the next time. */
    private void publishLoad() {
        int waiting = mQueue.stream().mapToInt(job -> PrefixBlocks.tokens(job.mText)).sum();
        mPublishedLoad =
                Map.of(
                        "running", mQueue.size(),
                        "waiting_tokens", waiting,
                        "leaving", mServer.faults().on(Fault.LEAVING));
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.startsWith("/kv/")) {
            export(exchange, path.substring("/kv/".length()));
            return;
        }
        switch (path) {
            case "/v1/prefill" -> prefill(exchange);
            case "/v1/cancel" -> cancel(exchange);
            case "/v1/holding" -> exchange.answer(HttpResponses.json(200, holding()));
            case "/v1/load" -> exchange.answer(HttpResponses.json(200, mPublishedLoad));
            case "/v1/cache-events" -> exchange.answer(HttpResponses.json(200, events(exchange)));
            case "/v1/stats" -> exchange.answer(HttpResponses.json(200, stats()));
            case "/v1/orders" -> EngineOrders.answer(exchange, mServer);
            default -> StandinServer.unknown(exchange);
        }
    }

    /**
     * Takes a prefill or refuses it as not started.
     *
     * @param exchange the request
     */
    private void prefill(HttpExchange exchange) {
        if (mServer.faults().on(Fault.LEAVING)) {
            exchange.answer(HttpResponses.json(LEAVING, Map.of("started", false, "leaving", true)));
            return;
        }
        if (mServer.faults().on(Fault.FULL) || mQueue.size() >= mModel.queueLimit()) {
            exchange.answer(HttpResponses.json(FULL, Map.of("started", false)));
            return;
        }
        Job job = new Job(Json.read(exchange.body(), JsonNode.class), exchange);
        mQueue.add(job);
        if (mQueue.size() == 1) {
            start(job);
        }
    }

    /**
     * Starts the first job of the queue.
     *
     * @param job the job
     */
    private void start(Job job) {
        mServer.ran().add(job.id(), job.mAsked.path("call").asText(""), "started");
        mServer.events().record("prefill-started", job.id(), "");
        List<Long> blocks = PrefixBlocks.of(job.mText);
        int cached = 0;
        while (cached < blocks.size() && mCache.get(blocks.get(cached)) != null) {
            cached++;
        }
        int uncached = PrefixBlocks.tokens(job.mText) - cached * PrefixBlocks.TOKENS_PER_BLOCK;
        job.mComputed = Math.max(1, uncached);
        blocks.forEach(this::store);
        long nanos =
                mModel.fixedMicros() * NANOS_PER_MICRO
                        + (long) (job.mComputed * NANOS_PER_SECOND / mModel.tokensPerSecond());
        mLoop.schedule(() -> finish(job), nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Stores a block in the cache.
     *
     * @param block the block's name
     */
    private void store(long block) {
        if (mCache.put(block, true) == null) {
            mEvents.add(new CacheEvent(mNext++, block, System.nanoTime()));
            if (mEvents.size() > EVENTS_KEPT) {
                mEvents.remove();
            }
        }
        if (mCache.size() > mModel.cacheBlocks()) {
            mCache.remove(mCache.keySet().iterator().next());
        }
    }

    /**
     * Ends the running job and starts the next.
     *
     * @param job the job that ran
     */
    private void finish(Job job) {
        mQueue.remove(job);
        tally(job).mComputed += job.mComputed;
        if (job.mCancelled) {
            tally(job).mWasted += job.mComputed;
        } else {
            offer(job);
        }
        if (!mQueue.isEmpty()) {
            start(mQueue.peek());
        }
    }

    /**
     * Keeps a result for a while and tells the router.
     *
     * @param job the job that was done
     */
    private void offer(Job job) {
        String handle = "kv" + mNext++;
        mResults.put(handle, job);
        mLoop.schedule(() -> expire(handle), mModel.kvLifeMillis(), TimeUnit.MILLISECONDS);
        mServer.events().record("prefill-done", job.id(), handle);
        boolean wrong = mServer.faults().on(Fault.WRONG_ID);
        job.mExchange.answer(
                HttpResponses.json(
                        200,
                        Map.of(
                                "request_id",
                                wrong ? "somebody-else" : job.id(),
                                "kv_handle",
                                handle,
                                "kv_bytes",
                                kvBytes(job),
                                "tokens",
                                PrefixBlocks.tokens(job.mText),
                                "computed_tokens",
                                job.mComputed,
                                "expires_millis",
                                mModel.kvLifeMillis())));
    }

    /**
     * Drops a result that nobody fetches.
     *
     * @param handle the result
     */
    private void expire(String handle) {
        Job job = mResults.get(handle);
        if (job != null && !job.mMoving) {
            drop(handle, job);
        }
    }

    /**
     * Drops a result as wasted.
     *
     * @param handle the result
     * @param job the job that made it
     */
    private void drop(String handle, Job job) {
        mResults.remove(handle);
        tally(job).mWasted += job.mComputed;
        mServer.events().record("kv-dropped", job.id(), handle);
    }

    /**
     * Sends a result over the link to the decode engine that asks.
     *
     * @param exchange the decode engine's request
     * @param handle the result
     */
    private void export(HttpExchange exchange, String handle) {
        Job job = mResults.get(handle);
        if (job == null || job.mMoving) {
            exchange.answer(HttpResponses.json(GONE, Map.of("missing", handle)));
            return;
        }
        job.mMoving = true;
        if (mServer.faults().on(Fault.STALL)) {
            exchange.onDisconnect(() -> drop(handle, job));
            return;
        }
        long now = System.nanoTime();
        long nanos = (long) (kvBytes(job) * NANOS_PER_SECOND / mModel.linkBytesPerSecond());
        mLinkFreeNanos = Math.max(now, mLinkFreeNanos) + nanos;
        mLoop.schedule(
                () -> exported(exchange, handle, job), mLinkFreeNanos - now, TimeUnit.NANOSECONDS);
    }

    /**
     * Ends a transfer.
     *
     * @param exchange the decode engine's request
     * @param handle the result
     * @param job the job that made it
     */
    private void exported(HttpExchange exchange, String handle, Job job) {
        if (exchange.isOver() || mResults.get(handle) != job) {
            if (mResults.get(handle) == job) {
                drop(handle, job);
            }
            exchange.answer(HttpResponses.json(GONE, Map.of("missing", handle)));
            return;
        }
        mResults.remove(handle);
        exchange.answer(
                HttpResponses.json(
                        200,
                        Map.of(
                                "request_id", job.id(),
                                "mark", PrefixBlocks.mark(job.mAsked.path("prompt").asText()),
                                "first_index", job.mAsked.path("resume_tokens").asInt())));
    }

    /**
     * Cancels a request wherever it is.
     *
     * @param exchange the order to cancel
     */
    private void cancel(HttpExchange exchange) {
        String id = Json.read(exchange.body(), JsonNode.class).path("request_id").asText();
        boolean held = false;
        for (Job job : new ArrayList<>(mQueue)) {
            if (job.id().equals(id)) {
                held = true;
                job.mCancelled = true;
                if (job != mQueue.peek()) {
                    mQueue.remove(job);
                }
            }
        }
        for (String handle : new ArrayList<>(mResults.keySet())) {
            Job job = mResults.get(handle);
            if (job.id().equals(id)) {
                held = true;
                drop(handle, job);
            }
        }
        mServer.ran().add(id, "", "cancelled");
        mServer.acknowledge(exchange, HttpResponses.json(200, Map.of("held", held)));
    }

    /**
     * Lists what is held.
     *
     * @return the requests and their owners
     */
    private List<Map<String, String>> holding() {
        List<Map<String, String>> held = new ArrayList<>();
        mQueue.forEach(job -> held.add(held(job)));
        mResults.values().forEach(job -> held.add(held(job)));
        return held;
    }

    /**
     * Describes a held request.
     *
     * @param job the job
     * @return its id and owner
     */
    private static Map<String, String> held(Job job) {
        return Map.of("request_id", job.id(), "owner", job.mAsked.path("owner").asText());
    }

    /**
     * Lists cache events, late and with gaps: every seventh is missing.
     *
     * @param exchange the request, with the last number seen
     * @return the events
     */
    private List<Map<String, Object>> events(HttpExchange exchange) {
        String since = exchange.query("since");
        long after = since.isEmpty() ? 0 : Long.parseLong(since);
        long until = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(mModel.eventLagMillis());
        final int gap = 7;
        return mEvents.stream()
                .filter(event -> event.number() > after && event.atNanos() < until)
                .filter(event -> event.number() % gap != 0)
                .map(
                        event ->
                                Map.<String, Object>of(
                                        "number", event.number(), "block", event.block()))
                .toList();
    }

    /**
     * Tells the work done and wasted.
     *
     * @return tokens by partner
     */
    private Map<String, Object> stats() {
        Map<String, Object> stats = new LinkedHashMap<>();
        mTallies.forEach(
                (partner, tally) ->
                        stats.put(
                                partner,
                                Map.of("computed", tally.mComputed, "wasted", tally.mWasted)));
        return stats;
    }

    /**
     * Returns the size of a result.
     *
     * @param job the job that made it
     * @return bytes
     */
    private long kvBytes(Job job) {
        return (long) PrefixBlocks.tokens(job.mText) * mModel.kvBytesPerToken();
    }

    /**
     * Returns the tally of a job's partner.
     *
     * @param job the job
     * @return the tally
     */
    private Tally tally(Job job) {
        return mTallies.computeIfAbsent(
                job.mAsked.path("partner").asText(), partner -> new Tally());
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
    }
}
