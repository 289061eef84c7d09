package org.troutpier.daemon.cluster;

import org.troutpier.daemon.serving.TrafficLoop;

/**
 * When it is looked what changed in this router's load: soon after a call began or ended, a little
 * later where runs only grew. Confined to the traffic loop. Invariants: one look is planned at a
 * time; it is never later than what asked for it allows.
 *
 * <p>It answers fleets in which each router always has a stream under way: with a report for each
 * token, at most 20 a second, a relay of 19 routers would hear 380 reports a second.
 */
final class ReportPace {

    /**
     * The shortest pause between a report and the next for a change that can wait, milliseconds: a
     * call that is not known yet sends others to the same upstream.
     */
    static final long CHANGED_MILLIS = 50;

    /**
     * The same where runs only grew, milliseconds: ten runs of 180 tokens a second grow by 360
     * tokens in it, a hundredth of an engine's memory.
     */
    static final long GROWN_MILLIS = 200;

    /** The traffic loop. */
    private final TrafficLoop mLoop;

    /** Looks what changed. */
    private final Runnable mLook;

    /** When the last report was made, milliseconds. */
    private long mReportedAt;

    /** The look that is planned, or null. */
    private TrafficLoop.Timer mPlanned;

    /** For when it is planned, milliseconds. */
    private long mPlannedAt;

    /**
     * Creates a pace.
     *
     * @param loop the traffic loop
     * @param look looks what changed
     */
    ReportPace(TrafficLoop loop, Runnable look) {
        mLoop = loop;
        mLook = look;
    }

    /** Takes note that a report is made. */
    void reported() {
        mReportedAt = mLoop.millis();
    }

    /**
     * Returns how long ago the last report was made.
     *
     * @return milliseconds
     */
    long ageMillis() {
        return mLoop.millis() - mReportedAt;
    }

    /** Has it looked after a call began or ended. */
    void changed() {
        lookBy(mReportedAt + CHANGED_MILLIS);
    }

    /** Has it looked after runs grew. */
    void grown() {
        lookBy(mReportedAt + GROWN_MILLIS);
    }

    /**
     * Plans a look, unless one is planned that is as early.
     *
     * @param at by when, milliseconds; at once where that has passed
     */
    private void lookBy(long at) {
        if (mPlanned != null) {
            if (mPlannedAt <= at) {
                return;
            }
            mPlanned.cancel();
        }
        mPlannedAt = at;
        mPlanned = mLoop.schedule(this::look, Math.max(0, at - mLoop.millis()));
    }

    /** Looks. */
    private void look() {
        mPlanned = null;
        mLook.run();
    }
}
