package org.troutpier.daemon.request;

import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.id.RequestId;

/**
 * A request as it was read and classified. Immutable but for the exchange, which is confined to its
 * event loop.
 *
 * @param exchange the request and the way to answer it
 * @param id names the request
 * @param declared its class
 * @param key the caller's key, or null
 * @param fingerprint the hash of what was asked, so that a key cannot be used for another request
 * @param call the caller's own mark, empty for none
 */
public record Arrival(
        HttpExchange exchange,
        RequestId id,
        ClassDeclaration requestClass,
        String key,
        String fingerprint,
        String call) {}
