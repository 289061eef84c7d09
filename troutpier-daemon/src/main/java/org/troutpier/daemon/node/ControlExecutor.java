package org.troutpier.daemon.node;

import java.util.concurrent.Executor;

/**
 * Executes the tasks that access control state, one at a time and in submission order.
 * Implementations are thread safe.
 */
public interface ControlExecutor extends Executor, AutoCloseable {

    /**
     * Executes a task after a delay.
     *
     * @param task the task
     * @param millis the delay, milliseconds
     */
    void schedule(Runnable task, long millis);

    /**
     * Executes a task repeatedly.
     *
     * @param task the task
     * @param millis the delay before the first run and from the end of one run to the start of the
     *     next, milliseconds
     */
    void scheduleWithFixedDelay(Runnable task, long millis);

    /** Shuts down; pending tasks are discarded. */
    @Override
    void close();
}
