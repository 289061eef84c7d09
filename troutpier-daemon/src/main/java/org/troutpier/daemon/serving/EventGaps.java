package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.pace.EventTimer;
import org.troutpier.daemon.route.Route;

/**
 * Records the pauses between the events of one run, and how fast its engine generates. Confined to
 * the traffic loop.
 */
final class EventGaps {

    private final ServingContext mContext;

    private final Route mRoute;

    private final UpstreamEntry mEngine;

    private final RequestTrace mTrace;

    private final EventTimer mTimer = new EventTimer();

    /** When the stream's last bytes arrived, milliseconds on the loop's clock; 0 before them. */
    private long mLastEventAt;

    EventGaps(ServingContext context, Route route, UpstreamEntry engine, RequestTrace trace) {
        mContext = context;
        mRoute = route;
        mEngine = engine;
        mTrace = trace;
    }

    /**
     * Records that bytes of the stream have arrived.
     *
     * @param events the number of events of the run so far
     */
    void onEvents(long events) {
        long now = mContext.loop().millis();
        long pause = now - mLastEventAt;
        if (mLastEventAt != 0 && mRoute.eventGapMillis() > 0 && pause > mRoute.eventGapMillis()) {
            recordPause(pause, now);
        }
        mLastEventAt = now;
        if (mContext.load().pace() && isEngine() && events > 0) {
            mContext.loads().recordPace(mEngine, mTimer.record(events, now));
        }
    }

    /** Returns whether the pauses depend on an engine's memory and batch. */
    private boolean isEngine() {
        return mEngine.role() != UpstreamEntry.Role.PLAIN;
    }

    /** Discards the measurement in progress because the caller does not read fast enough. */
    void interrupt() {
        mTimer.interrupt();
    }

    /** Records a pause that exceeds the route's limit. */
    private void recordPause(long pause, long now) {
        mTrace.markNotable();
        if (isEngine()) {
            mContext.growthMargin().recordPause(now);
        }
        mTrace.addStep(
                "pause "
                        + pause
                        + "ms@"
                        + mEngine.id()
                        + " known tokens "
                        + mContext.loads().tokens(mEngine)
                        + mContext.loads().paces().describe(mEngine));
    }
}
