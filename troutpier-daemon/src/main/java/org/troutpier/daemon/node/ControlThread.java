package org.troutpier.daemon.node;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The one thread that owns control state. Thread safe. Invariant: tasks run one at a time, in the
 * order in which they were given; a task that throws is logged and ends no other.
 */
public final class ControlThread implements ControlExecutor {

    /** Logs tasks that threw. */
    private static final Logger LOGGER = LogManager.getLogger(ControlThread.class);

    /** Runs the tasks. */
    private final ScheduledThreadPoolExecutor mExecutor;

    /** Creates and starts the thread. */
    public ControlThread() {
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "control");
                            thread.setDaemon(true);
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

    /** {@inheritDoc} */
    @Override
    public void schedule(Runnable task, long millis) {
        if (!mExecutor.isShutdown()) {
            mExecutor.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void scheduleWithFixedDelay(Runnable task, long millis) {
        mExecutor.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
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
                Invariants.recordViolation("control-task", exception.toString());
            }
        };
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
