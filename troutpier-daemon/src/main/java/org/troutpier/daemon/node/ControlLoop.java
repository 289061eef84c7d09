package org.troutpier.daemon.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Executes control tasks on the event loop that carries traffic. On a machine with one core, a
 * thread of their own would gain nothing, and each peer message would wake it and, for an answer,
 * the event loop. Thread safe. Invariants: tasks run one at a time in submission order, never
 * within the caller of {@link #execute}; a task that throws is logged and does not prevent later
 * tasks; no task runs after {@link #close()}, except one that has begun.
 */
public final class ControlLoop implements ControlExecutor {

    private final EventLoop mLoop;

    private volatile boolean mClosed;

    /**
     * Creates an executor.
     *
     * @param loop executes the tasks; it is not shut down with this executor
     */
    public ControlLoop(EventLoop loop) {
        mLoop = loop;
    }

    /** {@inheritDoc} */
    @Override
    public void execute(Runnable task) {
        if (!mClosed) {
            mLoop.execute(guarded(task));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void schedule(Runnable task, long millis) {
        if (!mClosed) {
            mLoop.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void scheduleWithFixedDelay(Runnable task, long millis) {
        mLoop.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private Runnable guarded(Runnable task) {
        GuardedTask guarded = new GuardedTask(task, () -> mClosed);
        return () -> {
            if (!mClosed) {
                guarded.run();
            }
        };
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        mClosed = true;
    }
}
