package org.troutpier.standins.service;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.Fault;
import org.troutpier.standins.fault.StandinServer;

/**
 * A plain service. {@code /orders} must not be run twice; {@code /transcripts} are large downloads;
 * everything else is a status call. Confined to one event loop, so the group it is given must have
 * one thread.
 */
public final class PlainService implements AutoCloseable {

    /** Says that a refused call was not started. */
    public static final String NOT_STARTED = "X-Request-Started";

    /** How large a transcript is unless the query says so, bytes. */
    private static final long TRANSCRIPT_BYTES = 1_000_000;

    /** How much is written at once, bytes. */
    private static final int PART = 32 * 1024;

    /** How many letters a transcript goes through. */
    private static final int LETTERS = 26;

    /** The status of a refusal. */
    private static final int REFUSED = 503;

    /** How long a call takes, milliseconds. */
    private final int mWorkMillis;

    /** How many calls run at once. */
    private final int mSlots;

    /** How many calls are running. */
    private int mRunning;

    /** The server. */
    private final StandinServer mServer;

    /**
     * Creates and starts a service.
     *
     * @param name the replica's name
     * @param address where to listen
     * @param workMillis how long a call takes
     * @param slots how many calls run at once
     * @param loops a group of one thread
     */
    public PlainService(
            String name, Address address, int workMillis, int slots, EventLoopGroup loops) {
        mWorkMillis = workMillis;
        mSlots = slots;
        mServer = new StandinServer(name, address, loops, server -> this::handle);
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/v1/load")) {
            boolean leaving = mServer.faults().on(Fault.LEAVING);
            exchange.answer(
                    HttpResponses.json(200, Map.of("running", mRunning, "leaving", leaving)));
            return;
        }
        boolean full = mServer.faults().on(Fault.FULL) || mRunning >= mSlots;
        if (full || mServer.faults().on(Fault.LEAVING)) {
            FullHttpResponse refusal = HttpResponses.json(REFUSED, Map.of("started", false));
            refusal.headers().set(NOT_STARTED, "false");
            exchange.answer(refusal);
            return;
        }
        mRunning++;
        String id = String.valueOf(exchange.header("X-Request-Id"));
        String call = exchange.header("X-Call") == null ? "" : exchange.header("X-Call");
        mServer.ran().add(id, call, "started");
        mServer.events().record("call-started", id, exchange.method() + " " + exchange.path());
        exchange.loop()
                .schedule(() -> finish(exchange, id, call), mWorkMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends a call.
     *
     * @param exchange the request
     * @param id the id that the router gave
     * @param call the caller's own mark
     */
    private void finish(HttpExchange exchange, String id, String call) {
        mRunning--;
        mServer.ran().add(id, call, "finished");
        String shown = mServer.faults().on(Fault.WRONG_ID) ? "somebody-else" : id;
        if (exchange.path().startsWith("/transcripts")) {
            String bytes = exchange.query("bytes");
            long length = bytes.isEmpty() ? TRANSCRIPT_BYTES : Long.parseLong(bytes);
            download(exchange, length, shown);
            return;
        }
        FullHttpResponse answer =
                HttpResponses.json(
                        200,
                        new Echo(
                                exchange.path(),
                                call,
                                new String(exchange.body(), StandardCharsets.UTF_8)));
        answer.headers().set("X-Request-Id", shown);
        mServer.acknowledge(exchange, answer);
    }

    /**
     * The answer to a call. Immutable and thread safe.
     *
     * @param path the path that was asked for
     * @param call the caller's own mark
     * @param body the body that was sent
     */
    private record Echo(String path, String call, String body) {}

    /**
     * Sends a transcript as fast as the reader takes it.
     *
     * @param exchange the request
     * @param length how many bytes
     * @param id the id to show
     */
    private void download(HttpExchange exchange, long length, String id) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "text/plain");
        headers.set("Content-Length", length);
        headers.set("X-Request-Id", id);
        exchange.begin(200, headers);
        Download download = new Download(exchange, length);
        exchange.onWritable(download::go);
        download.go();
    }

    /** A download under way. Confined to the event loop. */
    private final class Download {

        /** Where it goes. */
        private final HttpExchange mExchange;

        /** How many bytes it has in all. */
        private final long mLength;

        /** How many bytes were written. */
        private long mWritten;

        /**
         * Creates a download.
         *
         * @param exchange where it goes
         * @param length how many bytes it has in all
         */
        Download(HttpExchange exchange, long length) {
            mExchange = exchange;
            mLength = length;
        }

        /** Writes until the reader is slower. */
        void go() {
            while (!mExchange.isOver() && mExchange.isWritable() && mWritten < mLength) {
                boolean cut = mServer.faults().on(Fault.CUT);
                if (cut && mWritten >= mServer.faults().amount(Fault.CUT)) {
                    mExchange.abort();
                    return;
                }
                byte[] part = new byte[(int) Math.min(PART, mLength - mWritten)];
                for (int index = 0; index < part.length; index++) {
                    part[index] = (byte) ('a' + (mWritten + index) % LETTERS);
                }
                mWritten += part.length;
                mExchange.write(part);
            }
            if (mWritten >= mLength) {
                mExchange.end();
            }
        }
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
