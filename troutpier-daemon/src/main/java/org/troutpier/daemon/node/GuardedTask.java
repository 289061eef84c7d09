package org.troutpier.daemon.node;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A control task whose exceptions are logged, so that a failure does not cancel its later runs.
 * Thread safe if the task is.
 *
 * @param task the task
 */
record GuardedTask(Runnable task) implements Runnable {

    private static final Logger LOGGER = LogManager.getLogger(GuardedTask.class);

    /** {@inheritDoc} */
    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException exception) {
            LOGGER.error("control task failed", exception);
            Invariants.recordViolation("control-task", exception.toString());
        }
    }
}
