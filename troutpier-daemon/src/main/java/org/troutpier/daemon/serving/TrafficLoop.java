package org.troutpier.daemon.serving;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The single-threaded event loop that serves requests. Implementations are thread safe. Invariant:
 * tasks run one at a time, so that state that only they access needs no lock.
 */
public interface TrafficLoop {

    /** Runs a task. */
    void execute(Runnable task);

    /**
     * Runs a task after a delay.
     *
     * @param millis the delay
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

    /** A scheduled task. */
    interface Timer {

        /** Cancels the task; one that has begun is not interrupted. */
        void cancel();
    }

    /** An implementation on Netty's event loop. Thread safe. */
    final class ForNetty implements TrafficLoop {

        private final EventLoop mLoop;

        /** Creates a traffic loop. */
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
