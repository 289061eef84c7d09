package org.troutpier.daemon.node;

import java.util.concurrent.Executor;

/**
 * Runs the tasks that touch control state: one at a time, in the order in which they were given.
 * Implementations are thread safe.
 */
public interface ControlExecutor extends Executor, AutoCloseable {

    /**
     * Runs a task later.
     *
     * @param task the task
     * @param millis how much later
     */
    void schedule(Runnable task, long millis);

    /**
     * Runs a task again and again.
     *
     * @param task the task
     * @param millis how long from one end to the next start
     */
    void scheduleWithFixedDelay(Runnable task, long millis);

    /** Stops; tasks that wait are dropped. */
    @Override
    void close();
}
