package org.troutpier.common.http;

import org.troutpier.common.settings.Check;

/**
 * Limits of an HTTP server. Immutable and thread safe.
 *
 * @param connections maximum number of open connections
 * @param bodyBytes the largest body of a request
 * @param headerBytes the largest request line and headers
 * @param requestMillis time limit between the first and the last byte of a request, milliseconds
 * @param idleMillis time without a request in service after which an idle connection is closed,
 *     milliseconds
 */
public record ServerLimits(
        int connections, int bodyBytes, int headerBytes, int requestMillis, int idleMillis) {

    /** Default limits for stand-ins and operator ports. */
    public static final ServerLimits DEFAULT =
            new ServerLimits(10_000, 16 * 1024 * 1024, 16 * 1024, 10_000, 120_000);

    /** The most connections that may be set. */
    private static final int MAX_CONNECTIONS = 1_000_000;

    /** The largest body or header that may be set. */
    private static final int MAX_BYTES = 64 * 1024 * 1024;

    /** The longest time that may be set, milliseconds. */
    private static final int MAX_MILLIS = 3_600_000;

    /** Checks the fields. */
    public ServerLimits {
        Check.range("connections", connections, 1, MAX_CONNECTIONS);
        Check.range("bodyBytes", bodyBytes, 1, MAX_BYTES);
        Check.range("headerBytes", headerBytes, 1024, MAX_BYTES);
        Check.range("requestMillis", requestMillis, 1, MAX_MILLIS);
        Check.range("idleMillis", idleMillis, 1, MAX_MILLIS);
    }
}
