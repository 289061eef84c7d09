package org.troutpier.common.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.troutpier.common.result.TroutpierException;

/**
 * Serves requests. Both methods are called on the connection's event loop, must not block, and may
 * be called on several loops at once.
 */
public interface HttpHandler {

    /**
     * Looks at a request's head before its body is read, so that a hopeless body is never stored.
     *
     * @param head the request line and headers
     * @return why to refuse the request, or empty to read its body
     */
    default Optional<TroutpierException> screen(HttpRequest head) {
        return Optional.empty();
    }

    /**
     * Serves one whole request.
     *
     * @param exchange the request and the way to answer it
     */
    void handle(HttpExchange exchange);
}
