package org.troutpier.standins.fault;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpHandler;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.HttpServer;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.http.ServerRefusals;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.settings.Address;

/**
 * The server of a stand-in: it serves {@code /fault}, {@code /ran}, {@code /events} and {@code
 * /healthz} itself and lets faults act on everything else. Thread safe.
 */
public final class StandinServer implements AutoCloseable {

    /** How many events are kept. */
    private static final int RING = 8192;

    /** The status of an outage. */
    private static final int UNAVAILABLE = 503;

    /** The name that events bear. */
    private final String mName;

    /** The faults that are on. */
    private final FaultBoard mFaults = new FaultBoard();

    /** What ran here. */
    private final RunLog mRan = new RunLog();

    /** What happened here. */
    private final EventRing mEvents;

    /** The server. */
    private final HttpServer mServer;

    /**
     * Creates and starts a server.
     *
     * @param name the name that events bear
     * @param address where to listen
     * @param loops carries the traffic
     * @param routes makes the handler of the stand-in's own paths
     */
    public StandinServer(String name, Address address, EventLoopGroup loops, Routes routes) {
        mName = name;
        mEvents = new EventRing(name, RING, new HybridClock());
        HttpHandler own = routes.handler(this);
        mServer =
                new HttpServer(
                        address,
                        loops,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        exchange -> route(exchange, own));
    }

    /** Makes the handler of a stand-in's own paths. */
    public interface Routes {

        /**
         * Makes the handler.
         *
         * @param server the server that it will belong to
         * @return the handler
         */
        HttpHandler handler(StandinServer server);
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     * @param own the stand-in's own handler
     */
    private void route(HttpExchange exchange, HttpHandler own) {
        String path = exchange.path();
        if (path.startsWith("/fault/")) {
            switchFault(exchange, Fault.of(path.substring("/fault/".length())));
        } else if (path.equals("/ran")) {
            exchange.answer(HttpResponses.json(200, mRan.all()));
        } else if (path.equals("/events")) {
            exchange.answer(
                    HttpResponses.json(200, mEvents.eventsAbout(exchange.query("subject"))));
        } else if (path.equals("/healthz")) {
            String state = mFaults.on(Fault.LEAVING) ? "leaving" : "live";
            exchange.answer(HttpResponses.json(200, Map.of("name", mName, "state", state)));
        } else if (mFaults.on(Fault.OUTAGE)) {
            exchange.answer(HttpResponses.json(UNAVAILABLE, Map.of("error", "outage")));
        } else if (!mFaults.on(Fault.HANG)) {
            delayed(exchange, () -> own.handle(exchange));
        }
    }

    /**
     * Switches a fault.
     *
     * @param exchange the request to do so
     * @param fault the fault
     */
    private void switchFault(HttpExchange exchange, Fault fault) {
        String amount = exchange.query("amount");
        long millis = Long.parseLong(exchange.query("millis"));
        mFaults.set(fault, millis, amount.isEmpty() ? 0 : Integer.parseInt(amount));
        mEvents.record("fault", fault.label(), exchange.rawQuery());
        exchange.answer(HttpResponses.json(200, Map.of("fault", fault.label())));
    }

    /**
     * Runs an action now or after the delay that is switched on.
     *
     * @param exchange the request
     * @param action the action
     */
    private void delayed(HttpExchange exchange, Runnable action) {
        int millis = mFaults.amount(Fault.DELAY);
        if (millis == 0) {
            action.run();
        } else {
            exchange.loop().schedule(action, millis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends the answer to a write, or cuts the connection where acknowledgements are lost.
     *
     * @param exchange the request
     * @param answer the answer
     */
    public void acknowledge(HttpExchange exchange, FullHttpResponse answer) {
        if (mFaults.on(Fault.LOST_ACK)) {
            answer.release();
            exchange.abort();
        } else {
            exchange.answer(answer);
        }
    }

    /**
     * Answers a path that means nothing here.
     *
     * @param exchange the request
     */
    public static void unknown(HttpExchange exchange) {
        exchange.answer(HttpResponses.refusal(ResultCode.UNKNOWN_PATH, exchange.path()));
    }

    /**
     * Returns the faults that are on.
     *
     * @return the board
     */
    public FaultBoard faults() {
        return mFaults;
    }

    /**
     * Returns what ran here.
     *
     * @return the log
     */
    public RunLog ran() {
        return mRan;
    }

    /**
     * Returns what happened here.
     *
     * @return the ring
     */
    public EventRing events() {
        return mEvents;
    }

    /**
     * Returns where this stand-in listens.
     *
     * @return the address
     */
    public Address address() {
        return mServer.address();
    }

    /** Stops listening. */
    @Override
    public void close() {
        mServer.close();
    }
}
