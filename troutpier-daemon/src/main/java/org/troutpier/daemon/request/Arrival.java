package org.troutpier.daemon.request;

import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.id.RequestId;

/**
 * A parsed and classified request. Immutable except for the exchange, which is confined to its
 * event loop.
 *
 * @param exchange the request and its response
 * @param id id of the request
 * @param requestClass class of the request
 * @param key idempotency key of the caller, or null
 * @param fingerprint hash of the request, so that a key cannot be reused for another one
 * @param call identifier given by the caller; empty for none
 */
public record Arrival(
        HttpExchange exchange,
        RequestId id,
        ClassDeclaration requestClass,
        String key,
        String fingerprint,
        String call) {

    /** Runs an action on the event loop of the caller's connection. */
    void runOnLoop(Runnable action) {
        if (exchange.loop().inEventLoop()) {
            action.run();
        } else {
            exchange.loop().execute(action);
        }
    }
}
