package org.troutpier.daemon.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.troutpier.daemon.node.ControlExecutor;

/** A control thread for tests, which runs its tasks only when the test calls for it. */
final class ManualControl implements ControlExecutor {

    private final Queue<Runnable> mTasks = new ArrayDeque<>();
    private final List<Runnable> mPeriodicTasks = new ArrayList<>();

    @Override
    public void execute(Runnable task) {
        mTasks.add(task);
    }

    @Override
    public void schedule(Runnable task, long millis) {
        mTasks.add(task);
    }

    @Override
    public void scheduleWithFixedDelay(Runnable task, long millis) {
        mPeriodicTasks.add(task);
    }

    @Override
    public void close() {
        mTasks.clear();
    }

    void run() {
        while (!mTasks.isEmpty()) {
            mTasks.remove().run();
        }
    }

    void runPeriodicTasks() {
        run();
        mPeriodicTasks.forEach(Runnable::run);
        run();
    }
}
