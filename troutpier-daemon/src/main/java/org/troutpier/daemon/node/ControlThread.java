package org.troutpier.daemon.node;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The single thread that owns control state. Thread safe. Invariant: tasks run one at a time in
 * submission order; a task that throws is logged and does not prevent later tasks.
 */
public final class ControlThread implements ControlExecutor {

    private static final Logger LOGGER = LogManager.getLogger(ControlThread.class);

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

    /** Wraps a task so that an exception does not cancel its next runs. */
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
