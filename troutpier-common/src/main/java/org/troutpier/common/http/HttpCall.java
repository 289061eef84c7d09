package org.troutpier.common.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP request to send. Immutable and thread safe; each method that changes a property returns a
 * new object.
 *
 * @param method the HTTP method
 * @param url the whole URL, encoded
 * @param headers the headers
 * @param body the body, not to be changed
 * @param timeoutMillis time limit of the whole exchange, milliseconds
 * @param fresh whether to use a new connection for this request alone
 */
public record HttpCall(
        String method,
        String url,
        Map<String, String> headers,
        byte[] body,
        int timeoutMillis,
        boolean fresh) {

    /** Default time limit of an exchange, milliseconds. */
    private static final int DEFAULT_TIMEOUT_MILLIS = 5000;

    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * Creates a request without headers and body.
     *
     * @param url the whole URL, encoded
     */
    public static HttpCall of(String method, String url) {
        return new HttpCall(method, url, Map.of(), EMPTY_BODY, DEFAULT_TIMEOUT_MILLIS, false);
    }

    /** Returns the request with one more header. */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name, value);
        return new HttpCall(method, url, more, body, timeoutMillis, fresh);
    }

    /** Returns the request with a body. */
    public HttpCall withBody(byte[] newBody) {
        return new HttpCall(method, url, headers, newBody, timeoutMillis, fresh);
    }

    /** Returns the request with a JSON body. */
    public HttpCall withJson(Object value) {
        return withBody(Json.bytes(value)).withHeader("Content-Type", HttpResponses.JSON);
    }

    /**
     * Returns the request with another time limit.
     *
     * @param millis time limit of the whole exchange, milliseconds
     */
    public HttpCall withTimeout(int millis) {
        return new HttpCall(method, url, headers, body, millis, fresh);
    }

    /** Returns the request with a new connection of its own. */
    public HttpCall withFreshConnection() {
        return new HttpCall(method, url, headers, body, timeoutMillis, true);
    }
}
