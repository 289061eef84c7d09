package org.troutpier.common.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response. Immutable by convention: neither headers nor body may be modified.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

    /**
     * Returns whether the status is 2xx.
     *
     * @return whether it lies in the two hundreds
     */
    public boolean isSuccessful() {
        return status / 100 == 2;
    }

    /**
     * Returns the body as text.
     *
     * @return the body, read as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Reads the body.
     *
     * @param <T> the value's type
     */
    public <T> T as(Class<T> type) {
        return Json.read(body, type);
    }
}
