package org.troutpier.daemon.node;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.troutpier.daemon.serving.TrafficLoop;

/** A clock that tests advance, with its scheduled tasks. Confined to the test's thread. */
public final class ManualClock {

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private long mMillis = 1000;
    private long mNumber;
    private boolean mRunning;

    private static final class Task {
        private final long mAt;
        private final long mOrder;
        private Runnable mAction;

        Task(long at, long number, Runnable action) {
            mAt = at;
            mOrder = number;
            mAction = action;
        }

        long at() {
            return mAt;
        }

        long number() {
            return mOrder;
        }
    }

    /** Returns the time in milliseconds. */
    public long millis() {
        return mMillis;
    }

    /** Returns the time in nanoseconds. */
    public long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mMillis);
    }

    private Task add(Runnable action, long millis) {
        Task task = new Task(mMillis + millis, mNumber++, action);
        mTasks.add(task);
        return task;
    }

    /** Advances the clock and runs the tasks that are due. */
    public void advance(long millis) {
        long until = mMillis + millis;
        if (mRunning) {
            throw new IllegalStateException("clock advanced from one of its own tasks");
        }
        mRunning = true;
        while (!mTasks.isEmpty() && mTasks.peek().at() <= until) {
            Task task = mTasks.poll();
            mMillis = Math.max(mMillis, task.at());
            task.mAction.run();
        }
        mMillis = until;
        mRunning = false;
    }

    /** Creates a traffic loop that uses this clock. */
    public TrafficLoop loop() {
        return new TrafficLoop() {
            @Override
            public void execute(Runnable task) {
                add(task, 0);
            }

            @Override
            public Timer schedule(Runnable task, long millis) {
                Task added = add(task, millis);
                return () -> added.mAction = () -> {};
            }

            @Override
            public long nanos() {
                return ManualClock.this.nanos();
            }
        };
    }

    /** Creates a control executor that uses this clock and can be paused. */
    public PausableControlExecutor control() {
        return new PausableControlExecutor();
    }

    /** A control executor that can be paused. */
    public final class PausableControlExecutor implements ControlExecutor {

        private boolean mPaused;

        /** Pauses or resumes the executor. */
        public void pause(boolean paused) {
            mPaused = paused;
        }

        private Runnable whenAwake(Runnable task) {
            return () -> {
                if (mPaused) {
                    add(whenAwake(task), 1);
                } else {
                    task.run();
                }
            };
        }

        @Override
        public void execute(Runnable task) {
            add(whenAwake(task), 0);
        }

        @Override
        public void schedule(Runnable task, long millis) {
            add(whenAwake(task), millis);
        }

        @Override
        public void scheduleWithFixedDelay(Runnable task, long millis) {
            add(
                    whenAwake(
                            () -> {
                                task.run();
                                scheduleWithFixedDelay(task, millis);
                            }),
                    millis);
        }

        @Override
        public void close() {}
    }
}
