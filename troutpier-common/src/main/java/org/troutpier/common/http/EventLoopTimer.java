package org.troutpier.common.http;

import io.netty.channel.EventLoopGroup;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import io.netty.util.concurrent.Future;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A timer on event loops. The library's own timer is a thread that wakes ten times a second whether
 * or not a call is in progress; here only a timeout that is due wakes a thread. Thread safe.
 * Invariants: a task that throws is logged; a cancelled timeout is no longer referenced.
 */
final class EventLoopTimer implements Timer {

    private static final Logger LOGGER = LogManager.getLogger(EventLoopTimer.class);

    private final EventLoopGroup mLoops;

    /**
     * Creates a timer.
     *
     * @param loops execute the tasks
     */
    EventLoopTimer(EventLoopGroup loops) {
        mLoops = loops;
    }

    /** {@inheritDoc} */
    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        LoopTimeout timeout = new LoopTimeout(this, task);
        timeout.mFuture = mLoops.next().schedule(timeout, delay, unit);
        return timeout;
    }

    /** {@inheritDoc} Timeouts end with their event loops, so none is returned as unprocessed. */
    @Override
    public Set<Timeout> stop() {
        return Set.of();
    }

    /** A task that is due at a time. Thread safe. */
    private static final class LoopTimeout implements Timeout, Runnable {

        private final Timer mTimer;

        private final TimerTask mTask;

        /** The scheduled run; null to a task that runs before the timeout is handed out. */
        private volatile Future<?> mFuture;

        LoopTimeout(Timer timer, TimerTask task) {
            mTimer = timer;
            mTask = task;
        }

        /** {@inheritDoc} */
        @Override
        public void run() {
            try {
                mTask.run(this);
            } catch (Exception exception) {
                LOGGER.error("timer task failed", exception);
            }
        }

        /** {@inheritDoc} */
        @Override
        public Timer timer() {
            return mTimer;
        }

        /** {@inheritDoc} */
        @Override
        public TimerTask task() {
            return mTask;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isExpired() {
            Future<?> future = mFuture;
            return future == null || future.isDone() && !future.isCancelled();
        }

        /** {@inheritDoc} */
        @Override
        public boolean isCancelled() {
            Future<?> future = mFuture;
            return future != null && future.isCancelled();
        }

        /** {@inheritDoc} */
        @Override
        public boolean cancel() {
            Future<?> future = mFuture;
            return future != null && future.cancel(false);
        }
    }
}
