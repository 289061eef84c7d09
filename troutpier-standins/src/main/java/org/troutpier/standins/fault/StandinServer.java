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
 * The HTTP server of a stand-in. Serves {@code /fault}, {@code /ran}, {@code /events} and {@code
 * /healthz} itself and applies the active faults to all other paths. Thread safe.
 */
public final class StandinServer implements AutoCloseable {

    private static final int EVENT_CAPACITY = 8192;

    private static final int UNAVAILABLE = 503;

    private final String mName;

    private final FaultBoard mFaults = new FaultBoard();

    private final RunLog mRunLog = new RunLog();

    private final EventRing mEvents;

    private final HttpServer mServer;

    /**
     * Creates and starts a server.
     *
     * @param name the name of the stand-in in its events
     * @param address the address to listen on
     * @param loops the event loops of the connections
     * @param routes creates the handler of the stand-in's own paths
     */
    public StandinServer(String name, Address address, EventLoopGroup loops, Routes routes) {
        mName = name;
        mEvents = new EventRing(name, EVENT_CAPACITY, new HybridClock());
        HttpHandler handler = routes.handler(this);
        mServer =
                new HttpServer(
                        address,
                        loops,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        exchange -> route(exchange, handler));
    }

    /** Creates the handler of a stand-in's own paths. */
    public interface Routes {

        /**
         * Creates the handler.
         *
         * @param server the server that the handler belongs to
         * @return the handler
         */
        HttpHandler handler(StandinServer server);
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     * @param handler the handler of the stand-in's own paths
     */
    private void route(HttpExchange exchange, HttpHandler handler) {
        String path = exchange.path();
        if (path.startsWith("/fault/")) {
            switchFault(exchange, Fault.of(path.substring("/fault/".length())));
        } else if (path.equals("/ran")) {
            exchange.answer(HttpResponses.json(200, mRunLog.all()));
        } else if (path.equals("/events")) {
            exchange.answer(
                    HttpResponses.json(200, mEvents.eventsAbout(exchange.query("subject"))));
        } else if (path.equals("/healthz")) {
            String state = mFaults.on(Fault.LEAVING) ? "leaving" : "live";
            exchange.answer(HttpResponses.json(200, Map.of("name", mName, "state", state)));
        } else if (mFaults.on(Fault.OUTAGE)) {
            exchange.answer(HttpResponses.json(UNAVAILABLE, Map.of("error", "outage")));
        } else if (!mFaults.on(Fault.HANG)) {
            runDelayed(exchange, () -> handler.handle(exchange));
        }
    }

    /**
     * Switches a fault on or off.
     *
     * @param exchange the request, with the duration and the amount
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
     * Runs an action, after the delay of {@link Fault#DELAY} if that is active.
     *
     * @param exchange the request
     * @param action the action
     */
    private void runDelayed(HttpExchange exchange, Runnable action) {
        int millis = mFaults.amount(Fault.DELAY);
        if (millis == 0) {
            action.run();
        } else {
            exchange.loop().schedule(action, millis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends the answer to a write, or closes the connection while {@link Fault#LOST_ACK} is active.
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
     * Answers a request for an unknown path.
     *
     * @param exchange the request
     */
    public static void unknown(HttpExchange exchange) {
        exchange.answer(HttpResponses.refusal(ResultCode.UNKNOWN_PATH, exchange.path()));
    }

    /**
     * Returns the active faults.
     *
     * @return the fault board
     */
    public FaultBoard faults() {
        return mFaults;
    }

    /**
     * Returns the log of what this stand-in ran.
     *
     * @return the run log
     */
    public RunLog ran() {
        return mRunLog;
    }

    /**
     * Returns the events of this stand-in.
     *
     * @return the event ring
     */
    public EventRing events() {
        return mEvents;
    }

    /**
     * Returns the address that this stand-in listens on.
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
