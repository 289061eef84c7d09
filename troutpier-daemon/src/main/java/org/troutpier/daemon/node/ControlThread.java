package org.troutpier.daemon.node;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The one thread that owns control state. Thread safe. Invariant: tasks run one at a time, in the
 * order in which they were given; a task that throws is logged and ends no other.
 */
public final class ControlThread implements Executor, AutoCloseable {

    /** Tells of tasks that threw. */
    private static final Logger LOGGER = LogManager.getLogger(ControlThread.class);

    /** Runs the tasks. */
    private final ScheduledThreadPoolExecutor mExecutor;

    /** The thread itself, once it runs. */
    private volatile Thread mThread;

    /** Creates and starts the thread. */
    public ControlThread() {
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "control");
                            thread.setDaemon(true);
                            mThread = thread;
                            return thread;
                        });
        mExecutor.setRemoveOnCancelPolicy(true);
        mExecutor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** {@inheritDoc} */
    @Override
    public void execute(Runnable task) {
        if (!mExecutor.isShutdown()) {
            mExecutor.execute(guarded(task));
        }
    }

    /**
     * Runs a task later.
     *
     * @param task the task
     * @param millis how much later
     * @return the way to cancel it
     */
    public ScheduledFuture<?> later(Runnable task, long millis) {
        return mExecutor.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task again and again.
     *
     * @param task the task
     * @param millis how long from one end to the next start
     */
    public void every(Runnable task, long millis) {
        mExecutor.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether the calling thread is this one.
     *
     * @return whether control state may be touched
     */
    public boolean here() {
        return Thread.currentThread() == mThread;
    }

    /**
     * Keeps a task's exceptions from ending others.
     *
     * @param task the task
     * @return the task to run
     */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                LOGGER.error("control task failed", exception);
                Invariants.broken("control-task", exception.toString());
            }
        };
    }

    /** Stops the thread; tasks that wait are dropped. */
    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
