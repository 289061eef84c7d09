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
 * Has decisions made by what the other routers have under way now. Confined to the traffic loop.
 *
 * <p>It answers large fleets, in which a router serves about one request a second: told of each
 * change by its relay, it decoded 20 reports a second and used one of them.
 */
public interface LoadView {

    /**
     * Runs a decision once the use of upstreams is known as it is now, at once where it is.
     *
     * @param decision the decision; run on the traffic loop
     */
    void whenFresh(Runnable decision);

    /**
     * time; a decision waits for {@link #MOST_MILLIS} at most, and is made by what was told before
     * where the answer is not there by then.
     */
    final class ForDecisions implements LoadView {

        /**
         * How old a view may be, milliseconds: under half of the pause in which routers report
         * their own use.
         */
        static final long FRESH_MILLIS = 20;

        /**
         * How long a decision waits for the answer, milliseconds. A question within a hall is
         * answered in one to three; of the shortest targets of callers this is a seventh.
         */
        static final long MOST_MILLIS = 20;

        /** Logs decisions that threw. */
        private static final Logger LOGGER = LogManager.getLogger(LoadView.class);

        /** The traffic loop. */
        private final TrafficLoop mLoop;

        /** Asks, and runs what it is given once the answer is there, on any thread. */
        private final Consumer<Runnable> mQuestion;

        /** Counts questions. */
        private final Counter mAsked;

        /** Counts questions that were not answered in time. */
        private final Counter mUnanswered;

        /** The decisions that wait for the answer; none where no question is under way. */
        private List<Runnable> mWaiting = new ArrayList<>();

        /** The number of the last question. */
        private long mQuestions;

        /** Gives the question up. */
        private TrafficLoop.Timer mTimer;

        /** Until when the view is fresh, milliseconds. */
        private long mFreshUntil = Long.MIN_VALUE;

        /**
         * Creates a view.
         *
         * @param loop the traffic loop
         * @param question asks, and runs what it is given once the answer is there, on any thread
         * @param metrics counts questions
         */
        public ForDecisions(TrafficLoop loop, Consumer<Runnable> question, MetricRegistry metrics) {
            mLoop = loop;
            mQuestion = question;
            mAsked = metrics.counter("view.asked");
            mUnanswered = metrics.counter("view.unanswered");
        }

        /** {@inheritDoc} */
        @Override
        public void whenFresh(Runnable decision) {
            boolean asking = !mWaiting.isEmpty();
            if (!asking && mLoop.millis() <= mFreshUntil) {
                decision.run();
                return;
            }
            mWaiting.add(decision);
            if (!asking) {
                ask();
            }
        }

        /** Asks for the view. */
        private void ask() {
            mAsked.inc();
            long number = ++mQuestions;
            mTimer = mLoop.schedule(() -> unanswered(number), MOST_MILLIS);
            mQuestion.accept(() -> mLoop.execute(() -> answered(number)));
        }

        /**
         * Takes note that a question was not answered in time.
         *
         * @param number its number
         */
        private void unanswered(long number) {
            mUnanswered.inc();
            answered(number);
        }

        /**
         * Makes the decisions that wait.
         *
         * @param number the number of the question that is over
         */
        private void answered(long number) {
            if (mWaiting.isEmpty() || number != mQuestions) {
                return;
            }
            mTimer.cancel();
            mFreshUntil = mLoop.millis() + FRESH_MILLIS;
            List<Runnable> waiting = mWaiting;
            mWaiting = new ArrayList<>();
            waiting.forEach(ForDecisions::decide);
        }

        /**
         * Makes a decision, and keeps its exceptions from the others that waited with it.
         *
         * @param decision the decision
         */
        private static void decide(Runnable decision) {
            try {
                decision.run();
            } catch (RuntimeException exception) {
                LOGGER.error("decision failed", exception);
            }
        }
    }
}
