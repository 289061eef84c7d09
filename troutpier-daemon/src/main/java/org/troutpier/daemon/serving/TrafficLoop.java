package org.troutpier.daemon.serving;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that serves requests. Implementations are thread safe. Invariant: tasks run one at
 * a time, so state that only they touch needs no lock.
 */
public interface TrafficLoop {

    /**
     * Runs a task.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * Runs a task later.
     *
     * @param task the task
     * @param millis how much later
     * @return the timer, to stop it
     */
    Timer schedule(Runnable task, long millis);

    /**
     * Returns the monotonic clock.
     *
     * @return nanoseconds
     */
    long nanos();

    /**
     * Returns the monotonic clock.
     *
     * @return milliseconds
     */
    default long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** A task that waits for its time. */
    interface Timer {

        /** Stops the timer; a task that has begun goes on. */
        void cancel();
    }

    /** A loop on Netty's event loop. Thread safe. */
    final class ForNetty implements TrafficLoop {

        /** Runs the tasks. */
        private final EventLoop mLoop;

        /**
         * Creates a loop.
         *
         * @param loop runs the tasks
         */
        public ForNetty(EventLoop loop) {
            mLoop = loop;
        }

        /** {@inheritDoc} */
        @Override
        public void execute(Runnable task) {
            mLoop.execute(task);
        }

        /** {@inheritDoc} */
        @Override
        public Timer schedule(Runnable task, long millis) {
            var future = mLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        }

        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return System.nanoTime();
        }
    }
}
