package org.troutpier.daemon.cluster;

import org.troutpier.daemon.serving.TrafficLoop;

/**
 * Schedules this router's load reports: shortly after a call began or ended, a little later if runs
 * only added tokens. Confined to the traffic loop. Invariants: one check for changes is scheduled
 * at a time; it is never later than any of the changes that requested it allows.
 *
 * <p>Intended for fleets in which each router always has a stream in progress: with a report for
 * each token, at most 20 a second, a relay of 19 routers would receive 380 reports a second.
 */
final class ReportScheduler {

    /**
     * Minimum interval between a report and the next that was caused by a call, milliseconds. Until
     * a call is known, others choose the same upstream.
     */
    static final long CALL_INTERVAL_MILLIS = 50;

    /**
     * Minimum interval between a report and the next that was caused by added tokens, milliseconds.
     * Ten runs of 180 tokens a second add 360 tokens in it, one percent of an engine's memory.
     */
    static final long TOKEN_INTERVAL_MILLIS = 200;

    private final TrafficLoop mLoop;

    private final Runnable mAction;

    private long mLastReportMillis;

    /** The timer of the scheduled check, or null. */
    private TrafficLoop.Timer mTimer;

    private long mDueMillis;

    /**
     * Creates a scheduler.
     *
     * @param action checks for changes and reports them
     */
    ReportScheduler(TrafficLoop loop, Runnable action) {
        mLoop = loop;
        mAction = action;
    }

    void recordReport() {
        mLastReportMillis = mLoop.millis();
    }

    long millisSinceReport() {
        return mLoop.millis() - mLastReportMillis;
    }

    /** Schedules a check after a call began or ended. */
    void onCallChange() {
        scheduleBy(mLastReportMillis + CALL_INTERVAL_MILLIS);
    }

    /** Schedules a check after runs added tokens. */
    void onTokensAdded() {
        scheduleBy(mLastReportMillis + TOKEN_INTERVAL_MILLIS);
    }

    /**
     * Schedules a check, unless one is scheduled as early.
     *
     * @param dueMillis the latest time, milliseconds; a past time means immediately
     */
    private void scheduleBy(long dueMillis) {
        if (mTimer != null) {
            if (mDueMillis <= dueMillis) {
                return;
            }
            mTimer.cancel();
        }
        mDueMillis = dueMillis;
        mTimer = mLoop.schedule(this::run, Math.max(0, dueMillis - mLoop.millis()));
    }

    private void run() {
        mTimer = null;
        mAction.run();
    }
}
