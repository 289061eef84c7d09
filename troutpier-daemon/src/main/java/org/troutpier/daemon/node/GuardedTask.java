package org.troutpier.daemon.node;

import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A control task whose exceptions are logged, so that a failure does not cancel its later runs.
 * Thread safe if the task is.
 *
 * @param task the task
 * @param closed whether its executor was closed, after which what the task uses may reject it
 */
record GuardedTask(Runnable task, BooleanSupplier closed) implements Runnable {

    private static final Logger LOGGER = LogManager.getLogger(GuardedTask.class);

    /** {@inheritDoc} */
    @Override
    public void run() {
        try {
            task.run();
        } catch (RejectedExecutionException exception) {
            if (!closed.getAsBoolean()) {
                recordFailure(exception);
            }
        } catch (RuntimeException exception) {
            recordFailure(exception);
        }
    }

    private static void recordFailure(RuntimeException exception) {
        LOGGER.error("control task failed", exception);
        Invariants.recordViolation("control-task", exception.toString());
    }
}
