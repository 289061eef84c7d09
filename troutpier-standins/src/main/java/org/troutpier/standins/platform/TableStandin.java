package org.troutpier.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.common.settings.Address;
import org.troutpier.standins.fault.StandinServer;

/**
 * A table of JSON rows with {@code ETag}, {@code If-Match} and {@code If-None-Match}, and one
 * transact call that applies several conditional writes or none. Thread safe by its lock.
 */
public final class TableStandin implements AutoCloseable {

    /** The status of a failed condition. */
    private static final int FAILED_CONDITION = 412;

    /** The path of rows. */
    private static final String ROWS = "/rows/";

    /** The rows by key. */
    private final NavigableMap<String, Row> mRows = new TreeMap<>();

    /** The last version given. */
    private final AtomicLong mVersions = new AtomicLong();

    /** How many writes were asked for. */
    private final AtomicLong mWrites = new AtomicLong();

    /** How many reads were asked for. */
    private final AtomicLong mReads = new AtomicLong();

    /** The server. */
    private final StandinServer mServer;

    /**
     * One row.
     *
     * @param version its version, never used twice
     * @param value its value
     */
    private record Row(long version, JsonNode value) {}

    /**
     * Creates and starts a table.
     *
     * @param address where to listen
     * @param loops carries the traffic
     */
    public TableStandin(Address address, EventLoopGroup loops) {
        mServer = new StandinServer("table", address, loops, server -> this::handle);
    }

    /**
     * Serves one request.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals("/transact") && exchange.method().equals("POST")) {
            mWrites.incrementAndGet();
            transact(exchange);
        } else if (path.equals("/rows") && exchange.method().equals("GET")) {
            mReads.incrementAndGet();
            scan(exchange);
        } else if (path.equals("/counts")) {
            exchange.answer(
                    HttpResponses.json(
                            200, Map.of("writes", mWrites.get(), "reads", mReads.get())));
        } else if (path.startsWith(ROWS)) {
            row(exchange, path.substring(ROWS.length()));
        } else {
            StandinServer.unknown(exchange);
        }
    }

    /**
     * Serves one row.
     *
     * @param exchange the request
     * @param key the row's key
     */
    private void row(HttpExchange exchange, String key) {
        switch (exchange.method()) {
            case "GET" -> {
                mReads.incrementAndGet();
                read(exchange, key);
            }
            case "PUT", "DELETE" -> {
                mWrites.incrementAndGet();
                write(exchange, key);
            }
            default -> StandinServer.unknown(exchange);
        }
    }

    /**
     * Reads a row.
     *
     * @param exchange the request
     * @param key the row's key
     */
    private void read(HttpExchange exchange, String key) {
        Row row;
        synchronized (this) {
            row = mRows.get(key);
        }
        if (row == null) {
            exchange.answer(HttpResponses.json(404, Map.of("missing", key)));
        } else {
            exchange.answer(withTag(HttpResponses.json(200, row.value()), row));
        }
    }

    /**
     * Writes a row if its condition holds.
     *
     * @param exchange the request
     * @param key the row's key
     */
    private void write(HttpExchange exchange, String key) {
        String match = exchange.header("If-Match");
        boolean absent = "*".equals(exchange.header("If-None-Match"));
        JsonNode value =
                exchange.method().equals("PUT") ? Json.read(exchange.body(), JsonNode.class) : null;
        Row row;
        synchronized (this) {
            if (!holds(key, match, absent)) {
                row = null;
            } else {
                row = apply(key, value);
            }
        }
        mServer.acknowledge(
                exchange,
                row == null
                        ? HttpResponses.json(FAILED_CONDITION, Map.of("failed", key))
                        : withTag(HttpResponses.json(200, Map.of("written", key)), row));
    }

    /**
     * Applies all writes of a transaction or none.
     *
     * @param exchange the request
     */
    private void transact(HttpExchange exchange) {
        JsonNode writes = Json.read(exchange.body(), JsonNode.class).path("writes");
        List<String> failed = new ArrayList<>();
        ArrayNode tags = Json.mapper().createArrayNode();
        synchronized (this) {
            for (JsonNode write : writes) {
                String match = write.path("if_match").asText("");
                boolean absent = write.path("if_absent").asBoolean();
                if (!holds(write.path("key").asText(), match.isEmpty() ? null : match, absent)) {
                    failed.add(write.path("key").asText());
                }
            }
            if (failed.isEmpty()) {
                for (JsonNode write : writes) {
                    tags.add(tag(apply(write.path("key").asText(), write.get("value"))));
                }
            }
        }
        mServer.acknowledge(
                exchange,
                failed.isEmpty()
                        ? HttpResponses.json(200, Map.of("tags", tags))
                        : HttpResponses.json(FAILED_CONDITION, Map.of("failed", failed)));
    }

    /**
     * Returns whether a write's condition holds; called with the lock held.
     *
     * @param key the row's key
     * @param match the tag the row must have, or null
     * @param absent whether the row must be absent
     * @return whether to write
     */
    private boolean holds(String key, String match, boolean absent) {
        Row row = mRows.get(key);
        if (absent) {
            return row == null;
        }
        return match == null || row != null && tag(row).equals(match);
    }

    /**
     * Writes or deletes a row; called with the lock held.
     *
     * @param key the row's key
     * @param value its value, or null to delete it
     * @return the row as written
     */
    private Row apply(String key, JsonNode value) {
        Row row = new Row(mVersions.incrementAndGet(), value);
        if (value == null || value.isNull()) {
            mRows.remove(key);
        } else {
            mRows.put(key, row);
        }
        return row;
    }

    /**
     * Lists the rows under a prefix.
     *
     * @param exchange the request
     */
    private void scan(HttpExchange exchange) {
        String prefix = exchange.query("prefix");
        ArrayNode rows = Json.mapper().createArrayNode();
        synchronized (this) {
            mRows.tailMap(prefix).entrySet().stream()
                    .takeWhile(entry -> entry.getKey().startsWith(prefix))
                    .forEach(entry -> rows.add(described(entry.getKey(), entry.getValue())));
        }
        exchange.answer(HttpResponses.json(200, rows));
    }

    /**
     * Describes a row for a listing.
     *
     * @param key its key
     * @param row the row
     * @return the description
     */
    private static ObjectNode described(String key, Row row) {
        ObjectNode node = Json.mapper().createObjectNode();
        node.put("key", key);
        node.put("tag", tag(row));
        node.set("value", row.value());
        return node;
    }

    /**
     * Returns a row's tag.
     *
     * @param row the row
     * @return the tag, quoted as HTTP has it
     */
    private static String tag(Row row) {
        return "\"" + row.version() + "\"";
    }

    /**
     * Adds a row's tag to an answer.
     *
     * @param answer the answer
     * @param row the row
     * @return the same answer
     */
    private static FullHttpResponse withTag(FullHttpResponse answer, Row row) {
        answer.headers().set("ETag", tag(row));
        return answer;
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
