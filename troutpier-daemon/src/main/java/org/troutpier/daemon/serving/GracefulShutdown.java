package org.troutpier.daemon.serving;

import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.http.HttpServer;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.peer.ForwardingServer;

/**
 * Shuts a router down without aborting requests: readiness is withdrawn, each response closes its
 * connection, idle connections are closed last, and the process ends once no connection is left or
 * the grace period is over. Invariants: a request that was read is served or refused, and its
 * response written, before its connection is closed; only answers that were begun, and connections
 * that are forwarded for other routers, may be cut. Ending the process while connections are open
 * would lose a request that arrives at that moment. Thread safe; {@link #run()} blocks the calling
 * thread.
 */
public final class GracefulShutdown {

    /**
     * How long callers may still connect, milliseconds: the platform probes readiness every second
     * and removes a router after two failed probes.
     */
    private static final long READINESS_DELAY_MILLIS = 2600;

    /** How much of the grace period is left for the process to exit, milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 300;

    /** How much of the grace period is left to write the last answers, milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 200;

    /** Interval at which open connections are checked, milliseconds. */
    private static final long POLL_MILLIS = 50;

    private static final Logger LOGGER = LogManager.getLogger(GracefulShutdown.class);

    private final Readiness mReadiness;

    private final StopDeadline mStopDeadline;

    private final HttpServer mServer;

    private final ForwardingServer mForwarding;

    private final long mGraceMillis;

    /**
     * Creates a shutdown.
     *
     * @param readiness whether this router accepts new work
     * @param stopDeadline by when requests without an answer are refused
     * @param server serves callers
     * @param forwarding forwards connections of other routers
     * @param graceMillis how long the process may take to end, milliseconds
     */
    public GracefulShutdown(
            Readiness readiness,
            StopDeadline stopDeadline,
            HttpServer server,
            ForwardingServer forwarding,
            long graceMillis) {
        mReadiness = readiness;
        mStopDeadline = stopDeadline;
        mServer = server;
        mForwarding = forwarding;
        mGraceMillis = graceMillis;
    }

    /**
     * What the end of the grace period cuts off. Immutable and thread safe.
     *
     * @param exchanges requests whose response is not complete, or not completely written
     * @param unread connections whose output the caller has not read
     * @param forwarded connections that are forwarded for other routers
     */
    public record CutOff(int exchanges, int unread, int forwarded) {

        /** Returns whether nothing is cut off. */
        public boolean isEmpty() {
            return exchanges == 0 && unread == 0 && forwarded == 0;
        }
    }

    /**
     * Shuts the router down; returns when the process may end.
     *
     * @return what is cut off when the process ends now
     */
    public CutOff run() {
        long start = System.nanoTime();
        mReadiness.setStopping();
        mStopDeadline.begin(mGraceMillis - EXIT_MARGIN_MILLIS - ANSWER_MARGIN_MILLIS);
        mServer.drain();
        mForwarding.drain();
        LOGGER.info(
                "shutdown started busy={} forwarding={} graceMillis={}",
                mServer.activeExchanges(),
                mForwarding.connectionCount(),
                mGraceMillis);
        waitUntil(() -> elapsedMillis(start) >= READINESS_DELAY_MILLIS, start);
        mServer.close();
        waitUntil(this::closeIdleConnections, start);
        CutOff cutOff =
                new CutOff(
                        mServer.activeExchanges(),
                        mServer.sendingConnections(),
                        mForwarding.connectionCount());
        LOGGER.info(
                "shutdown finished busy={} millis={}", cutOff.exchanges(), elapsedMillis(start));
        if (!cutOff.isEmpty()) {
            LOGGER.warn(
                    "shutdown cuts off exchanges={} unread={} forwarded={} graceMillis={}",
                    cutOff.exchanges(),
                    cutOff.unread(),
                    cutOff.forwarded(),
                    mGraceMillis);
        }
        return cutOff;
    }

    /**
     * Closes the connections without a request in progress, so that no further request is read.
     *
     * @return whether no connection is left, of callers or forwarded for other routers
     */
    private boolean closeIdleConnections() {
        mServer.closeIdle();
        return mServer.connectionCount() == 0 && mForwarding.connectionCount() == 0;
    }

    /**
     * Waits for a condition or the end of the grace period.
     *
     * @param start when the shutdown began, nanoseconds
     */
    private void waitUntil(BooleanSupplier condition, long start) {
        while (!condition.getAsBoolean()
                && elapsedMillis(start) < mGraceMillis - EXIT_MARGIN_MILLIS) {
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                LOGGER.warn("shutdown interrupted busy={}", mServer.activeExchanges());
                return;
            }
        }
    }

    /**
     * Returns the milliseconds since a time.
     *
     * @param start the time, nanoseconds
     */
    private static long elapsedMillis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}
