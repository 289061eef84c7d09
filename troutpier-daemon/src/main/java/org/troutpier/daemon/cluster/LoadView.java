package org.troutpier.daemon.cluster;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.daemon.serving.TrafficLoop;

/**
 * Defers decisions until the load of the other routers is known recently enough. Confined to the
 * traffic loop.
 *
 * <p>Intended for large fleets, where a router serves about one request a second: when its relay
 * pushed each change, a router decoded 20 reports a second and used one of them.
 */
public interface LoadView {

    /**
     * Runs a decision once the usage of upstreams is recent enough, immediately where it already
     * is.
     *
     * @param decision the decision; run on the traffic loop
     */
    void whenFresh(Runnable decision);

    /**
     * Queries the load of the other routers before decisions that find it older than {@link
     * #MAX_AGE_MILLIS}. Decisions that arrive during a query share its answer; each waits for
     * {@link #MAX_WAIT_MILLIS} at most, and is then made with the load known before.
     */
    final class ForDecisions implements LoadView {

        /**
         * Age up to which a view counts as fresh, milliseconds: under half of the interval at which
         * routers report their own usage.
         */
        static final long MAX_AGE_MILLIS = 20;

        /**
         * Longest time that a decision waits for the answer, milliseconds. A query within a hall is
         * answered in one to three; the limit is a seventh of the callers' shortest latency target.
         */
        static final long MAX_WAIT_MILLIS = 20;

        private static final Logger LOGGER = LogManager.getLogger(LoadView.class);

        private final TrafficLoop mLoop;

        /** Sends a query and runs its argument once the answer was received, on any thread. */
        private final Consumer<Runnable> mQuery;

        private final Counter mQueries;

        private final Counter mTimeouts;

        /** Decisions that wait for the answer; empty where no query is in flight. */
        private List<Runnable> mWaitingDecisions = new ArrayList<>();

        /** The sequence number of the last query. */
        private long mLastQuery;

        private TrafficLoop.Timer mTimeout;

        /**
         * Time until which the view is fresh, milliseconds on the monotonic clock. Set after a
         * time-out as well as after an answer.
         */
        private long mFreshUntilMillis = Long.MIN_VALUE;

        /**
         * Creates a view.
         *
         * @param query sends a query and runs its argument once the answer was received, on any
         *     thread
         * @param metrics counts queries and those that timed out
         */
        public ForDecisions(TrafficLoop loop, Consumer<Runnable> query, MetricRegistry metrics) {
            mLoop = loop;
            mQuery = query;
            mQueries = metrics.counter("view.asked");
            mTimeouts = metrics.counter("view.unanswered");
        }

        /** {@inheritDoc} */
        @Override
        public void whenFresh(Runnable decision) {
            boolean inFlight = !mWaitingDecisions.isEmpty();
            if (!inFlight && mLoop.millis() <= mFreshUntilMillis) {
                decision.run();
                return;
            }
            mWaitingDecisions.add(decision);
            if (!inFlight) {
                query();
            }
        }

        private void query() {
            mQueries.inc();
            long number = ++mLastQuery;
            mTimeout = mLoop.schedule(() -> onTimeout(number), MAX_WAIT_MILLIS);
            mQuery.accept(() -> mLoop.execute(() -> onAnswer(number)));
        }

        private void onTimeout(long number) {
            mTimeouts.inc();
            onAnswer(number);
        }

        /**
         * Runs the waiting decisions, unless the query has already ended.
         *
         * @param number the sequence number of the query
         */
        private void onAnswer(long number) {
            if (mWaitingDecisions.isEmpty() || number != mLastQuery) {
                return;
            }
            mTimeout.cancel();
            mFreshUntilMillis = mLoop.millis() + MAX_AGE_MILLIS;
            List<Runnable> waiting = mWaitingDecisions;
            mWaitingDecisions = new ArrayList<>();
            waiting.forEach(ForDecisions::run);
        }

        /**
         * Runs a decision, and logs its exceptions so that the other waiting decisions still run.
         */
        private static void run(Runnable decision) {
            try {
                decision.run();
            } catch (RuntimeException exception) {
                LOGGER.error("decision that waited for load reports failed", exception);
            }
        }
    }
}
