package org.troutpier.common.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.troutpier.common.result.TroutpierException;

/**
 * Handles HTTP requests. Both methods are called on the connection's event loop, must not block,
 * and may be called on several event loops at once.
 */
public interface HttpHandler {

    /**
     * Checks the head of a request before its body is read, so that the body of a refused request
     * is never buffered.
     *
     * @param head the request line and headers
     * @return the reason for a refusal, or empty to read the body
     */
    default Optional<TroutpierException> screen(HttpRequest head) {
        return Optional.empty();
    }

    /** Handles a complete request. */
    void handle(HttpExchange exchange);
}
