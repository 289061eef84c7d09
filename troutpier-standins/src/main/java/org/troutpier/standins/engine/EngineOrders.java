package org.troutpier.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.Json;
import org.troutpier.standins.fault.StandinServer;

/** Takes fenced orders: load a model, an adapter or a version, or change the role. Stateless. */
final class EngineOrders {

    /** Not to be instantiated. */
    private EngineOrders() {}

    /**
     * Takes an order and notes it.
     *
     * @param exchange the order
     * @param server the engine's server
     */
    static void answer(HttpExchange exchange, StandinServer server) {
        JsonNode order = Json.read(exchange.body(), JsonNode.class);
        server.events().record("order", order.path("change").asText(), order.toString());
        server.acknowledge(
                exchange, HttpResponses.json(200, Map.of("epoch", order.path("epoch").asLong())));
    }
}
