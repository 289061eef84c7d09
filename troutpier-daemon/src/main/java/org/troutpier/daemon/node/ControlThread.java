package org.troutpier.daemon.node;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The single thread that owns control state. Thread safe. Invariant: tasks run one at a time in
 * submission order; a task that throws is logged and does not prevent later tasks.
 */
public final class ControlThread implements ControlExecutor {

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
            mExecutor.execute(new GuardedTask(task, mExecutor::isShutdown));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void schedule(Runnable task, long millis) {
        if (!mExecutor.isShutdown()) {
            mExecutor.schedule(
                    new GuardedTask(task, mExecutor::isShutdown), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void scheduleWithFixedDelay(Runnable task, long millis) {
        mExecutor.scheduleWithFixedDelay(
                new GuardedTask(task, mExecutor::isShutdown),
                millis,
                millis,
                TimeUnit.MILLISECONDS);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
