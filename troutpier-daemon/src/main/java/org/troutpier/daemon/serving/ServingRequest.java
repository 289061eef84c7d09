package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.troutpier.common.id.RequestId;

/**
 * One request as a caller sent it. Immutable by agreement: headers and body are not changed. Thread
 * safe.
 *
 * @param id the caller's name for this try of the request
 * @param method the HTTP method
 * @param target path and query, as sent
 * @param host the host asked for
 * @param headers what goes to the upstream unchanged; nothing that concerns one connection only
 * @param body the body
 * @param deadlineMillis how long the caller waits, from the arrival
 * @param lastEvent the last event that the caller has seen of a stream, if it says so
 * @param prompt what is known of the prompt, for a model request
 */
public record ServingRequest(
        RequestId id,
        String method,
        String target,
        String host,
        HttpHeaders headers,
        byte[] body,
        long deadlineMillis,
        OptionalLong lastEvent,
        Optional<PromptShape> prompt) {}
