package org.troutpier.standins.platform;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.StandinServer;

/** An object store: whole objects by key. Thread safe. */
public final class ObjectStandin implements AutoCloseable {

    /** The path of objects. */
    private static final String OBJECTS = "/objects/";

    /** The objects by key. */
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();

    /** The server. */
    private final StandinServer mServer;

    /**
     * Creates and starts a store.
     *
     * @param address where to listen
     * @param loops carries the traffic
     */
    public ObjectStandin(Address address, EventLoopGroup loops) {
        mServer = new StandinServer("objects", address, loops, server -> this::handle);
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        if (!exchange.path().startsWith(OBJECTS)) {
            StandinServer.unknown(exchange);
            return;
        }
        String key = exchange.path().substring(OBJECTS.length());
        switch (exchange.method()) {
            case "GET" -> read(exchange, key);
            case "PUT" -> {
                mObjects.put(key, exchange.body());
                mServer.acknowledge(exchange, HttpResponses.json(200, Map.of("written", key)));
            }
            case "DELETE" -> {
                mObjects.remove(key);
                mServer.acknowledge(exchange, HttpResponses.json(200, Map.of("deleted", key)));
            }
            default -> StandinServer.unknown(exchange);
        }
    }

    /**
     * Reads an object.
     *
     * @param exchange the request
     * @param key the object's key
     */
    private void read(HttpExchange exchange, String key) {
        byte[] object = mObjects.get(key);
        exchange.answer(
                object == null
                        ? HttpResponses.json(404, Map.of("missing", key))
                        : HttpResponses.bytes(200, "application/octet-stream", object));
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
