package org.troutpier.daemon.serving;

import java.util.function.BooleanSupplier;

/**
 * When a request is finished at the latest. Confined to the traffic loop. Invariant: it never
 * passes before the time that the route and the caller allow, unless the router stops and no answer
 * was begun.
 */
final class RequestDeadline {

    private final TrafficLoop mLoop;

    private final StopDeadline mStop;

    /** Whether the answer was begun, so that no refusal can be sent. */
    private final BooleanSupplier mAnswering;

    private final Runnable mOnPassed;

    private final Runnable mOnStop = this::schedule;

    /** The end of the time that the route and the caller allow, on the loop's clock. */
    private final long mLimitMillis;

    private TrafficLoop.Timer mTimer;

    /**
     * Creates and starts a deadline.
     *
     * @param millis the time that the route and the caller allow
     * @param answering whether the answer was begun; not asked before the constructor returns
     * @param onPassed called when the deadline has passed
     */
    RequestDeadline(
            TrafficLoop loop,
            StopDeadline stop,
            long millis,
            BooleanSupplier answering,
            Runnable onPassed) {
        mLoop = loop;
        mStop = stop;
        mAnswering = answering;
        mOnPassed = onPassed;
        mLimitMillis = loop.millis() + Math.max(1, millis);
        mStop.addListener(mOnStop);
        long first = mStop.earlierOf(mLimitMillis) - loop.millis();
        mTimer = loop.schedule(this::onTimer, Math.max(1, first));
    }

    private long atMillis() {
        return mAnswering.getAsBoolean() ? mLimitMillis : mStop.earlierOf(mLimitMillis);
    }

    private void schedule() {
        mTimer.cancel();
        mTimer = mLoop.schedule(this::onTimer, remainingMillis());
    }

    private void onTimer() {
        // the answer may have been begun since, which moves the deadline back
        if (mLoop.millis() < atMillis()) {
            schedule();
        } else {
            mOnPassed.run();
        }
    }

    /** Returns the time until the deadline, milliseconds, at least 1. */
    long remainingMillis() {
        return Math.max(1, atMillis() - mLoop.millis());
    }

    void cancel() {
        mTimer.cancel();
        mStop.removeListener(mOnStop);
    }
}
