package org.troutpier.daemon.pace;

/**
 * Measures the mean time between the events of one run, over a few events at a time. Not thread
 * safe; confined to the traffic loop. Invariant: no measurement spans a time in which the caller
 * did not read.
 */
public final class EventTimer {

    /**
     * Events in a measurement: enough to average over events that arrive together, and few enough
     * for several measurements of a run.
     */
    private static final int EVENTS = 8;

    /** When the measurement began, milliseconds. */
    private long mStart;

    /** The number of events of the run when it began; negative before the first event. */
    private long mStartEvents = -1;

    /** Discards the measurement because the caller does not read fast enough. */
    public void interrupt() {
        mStartEvents = -1;
    }

    /**
     * Records that events have arrived.
     *
     * @param events the number of events of the run so far
     * @param now the monotonic clock, milliseconds
     * @return the mean time between the events of a finished measurement, milliseconds; 0 while
     *     there is none
     */
    public double record(long events, long now) {
        if (mStartEvents >= 0 && events - mStartEvents < EVENTS) {
            return 0;
        }
        double mean = mStartEvents < 0 ? 0 : (double) (now - mStart) / (events - mStartEvents);
        mStartEvents = events;
        mStart = now;
        return mean;
    }
}
