package org.troutpier.daemon.serving;

import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.HttpServer;
import org.troutpier.daemon.node.Readiness;

/**
 * Stops a router without cutting requests: it is not ready any more, answers end their connections,
 * idle connections are closed last, and the process ends once no connection is left, or at the end
 * of the time that it is given. Invariant: a request that was read is served before its connection
 * is closed; ending the process while connections are open would lose one that comes at that
 * moment. Thread safe; {@link #run()} blocks the thread that calls it.
 */
public final class GracefulShutdown {

    /**
     * How long callers may still come, milliseconds: the platform asks for readiness every second
     * and takes a router out after two misses.
     */
    private static final long READINESS_DELAY_MILLIS = 2600;

    /** How much of the time that is given is left unused, milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 300;

    /** How often it is looked whether requests are in progress, milliseconds. */
    private static final long POLL_MILLIS = 50;

    /** Logs the stop. */
    private static final Logger LOGGER = LogManager.getLogger(GracefulShutdown.class);

    /** Whether this router takes new work. */
    private final Readiness mReadiness;

    /** Where callers come in. */
    private final HttpServer mServer;

    /** How long the process may take to end, milliseconds. */
    private final long mGraceMillis;

    /**
     * Creates a stop.
     *
     * @param readiness whether this router takes new work
     * @param server where callers come in
     * @param graceMillis how long the process may take to end, milliseconds
     */
    public GracefulShutdown(Readiness readiness, HttpServer server, long graceMillis) {
        mReadiness = readiness;
        mServer = server;
        mGraceMillis = graceMillis;
    }

    /** Stops; returns when the process may end. */
    public void run() {
        long start = System.nanoTime();
        mReadiness.stopping();
        mServer.drain();
        LOGGER.info("stop begins busy={} graceMillis={}", mServer.busy(), mGraceMillis);
        waitUntil(() -> elapsedMillis(start) >= READINESS_DELAY_MILLIS, start);
        mServer.close();
        waitUntil(this::closeIdleConnections, start);
        LOGGER.info("stop ends busy={} millis={}", mServer.busy(), elapsedMillis(start));
    }

    /**
     * Closes the connections on which nothing is in progress, so that no request is read any more.
     *
     * @return whether no connection is left
     */
    private boolean closeIdleConnections() {
        mServer.closeIdle();
        return mServer.connections() == 0;
    }

    /**
     * Waits for a condition or the end of the time that is given.
     *
     * @param condition the condition
     * @param start when the stop began, nanoseconds
     */
    private void waitUntil(BooleanSupplier condition, long start) {
        while (!condition.getAsBoolean()
                && elapsedMillis(start) < mGraceMillis - EXIT_MARGIN_MILLIS) {
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                LOGGER.warn("stop interrupted busy={}", mServer.busy());
                return;
            }
        }
    }

    /**
     * Returns how long ago a moment was.
     *
     * @param start the moment, nanoseconds
     * @return milliseconds
     */
    private static long elapsedMillis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}
