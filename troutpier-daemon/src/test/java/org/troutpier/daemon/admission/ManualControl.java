package org.troutpier.daemon.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.troutpier.daemon.node.ControlExecutor;

/** A control thread that a test drives: tasks run when they are told to. */
final class ManualControl implements ControlExecutor {

    private final Queue<Runnable> mTasks = new ArrayDeque<>();
    private final List<Runnable> mRepeated = new ArrayList<>();

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
        mRepeated.add(task);
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

    void tick() {
        run();
        mRepeated.forEach(Runnable::run);
        run();
    }
}
