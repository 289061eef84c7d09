package org.troutpier.common.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One request to send. Immutable; each step returns a new object. Thread safe.
 *
 * @param method the HTTP method
 * @param url the whole URL, encoded
 * @param headers the headers
 * @param body the body, not to be changed
 * @param timeoutMillis when the whole exchange is given up
 * @param fresh whether to open a connection for this request alone
 */
public record HttpCall(
        String method,
        String url,
        Map<String, String> headers,
        byte[] body,
        int timeoutMillis,
        boolean fresh) {

    /** When an exchange is given up unless said otherwise, milliseconds. */
    private static final int DEFAULT_TIMEOUT = 5000;

    /** No body. */
    private static final byte[] NOTHING = new byte[0];

    /**
     * Starts a request without headers and body.
     *
     * @param method the HTTP method
     * @param url the whole URL, encoded
     * @return the request
     */
    public static HttpCall of(String method, String url) {
        return new HttpCall(method, url, Map.of(), NOTHING, DEFAULT_TIMEOUT, false);
    }

    /**
     * Returns the request with one more header.
     *
     * @param name the header
     * @param value its value
     * @return a new request
     */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name, value);
        return new HttpCall(method, url, more, body, timeoutMillis, fresh);
    }

    /**
     * Returns the request with a body.
     *
     * @param newBody the body
     * @return a new request
     */
    public HttpCall withBody(byte[] newBody) {
        return new HttpCall(method, url, headers, newBody, timeoutMillis, fresh);
    }

    /**
     * Returns the request with a JSON body.
     *
     * @param value what to write as JSON
     * @return a new request
     */
    public HttpCall withJson(Object value) {
        return withBody(Json.bytes(value)).withHeader("Content-Type", HttpResponses.JSON);
    }

    /**
     * Returns the request with another time limit.
     *
     * @param millis when the whole exchange is given up
     * @return a new request
     */
    public HttpCall withTimeout(int millis) {
        return new HttpCall(method, url, headers, body, millis, fresh);
    }

    /**
     * Returns the request for a connection of its own.
     *
     * @return a new request
     */
    public HttpCall withFreshConnection() {
        return new HttpCall(method, url, headers, body, timeoutMillis, true);
    }
}
