package org.troutpier.daemon.serving;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.troutpier.daemon.decision.DurationForecast;
import org.troutpier.daemon.route.Route;

/**
 * By when a router that stops has sent its last refusals. Confined to the traffic loop, except
 * {@link #begin}, which is thread safe. Invariants: it is set once; until then nothing is refused
 * for it and no deadline is shortened.
 */
public final class StopDeadline {

    private static final long NEVER = Long.MAX_VALUE;

    private final TrafficLoop mLoop;

    private final DurationForecast mDurations = new DurationForecast();

    private final Set<Runnable> mListeners = new LinkedHashSet<>();

    private long mAtMillis = NEVER;

    /** Creates a deadline of a router that does not stop. */
    public StopDeadline(TrafficLoop loop) {
        mLoop = loop;
    }

    /**
     * Sets the deadline, since the router begins to stop.
     *
     * @param millis the time until then
     */
    public void begin(long millis) {
        long at = mLoop.millis() + Math.max(0, millis);
        mLoop.execute(
                () -> {
                    if (mAtMillis == NEVER) {
                        mAtMillis = at;
                        new ArrayList<>(mListeners).forEach(Runnable::run);
                    }
                });
    }

    /** Calls a listener when the deadline is set; not at all if it is set already. */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    void removeListener(Runnable listener) {
        mListeners.remove(listener);
    }

    /** Returns the earlier of the deadline and another time, milliseconds on the loop's clock. */
    long earlierOf(long millis) {
        return Math.min(mAtMillis, millis);
    }

    /** Records that a request was answered. */
    void recordAnswer(String route, long millis) {
        mDurations.record(route, millis, mLoop.millis());
    }

    /**
     * Returns whether a request that arrives now is expected to be answered by the deadline.
     *
     * @param limitMillis when it ends at the latest by its route and its caller
     */
    boolean isReachable(Route route, long limitMillis) {
        if (mAtMillis == NEVER) {
            return true;
        }
        long now = mLoop.millis();
        return mDurations.endsWithin(route.name(), limitMillis, mAtMillis - now, now);
    }
}
