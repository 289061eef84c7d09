package org.troutpier.daemon.decision;

import org.troutpier.common.collection.ExpiringMap;

/**
 * Predicts how long requests take from their arrival to the end of their answer, by route. Not
 * thread safe; confined to the traffic loop. Invariant: the number of routes is bounded.
 */
public final class DurationForecast {

    private static final int MAX_ROUTES = 10_000;

    /** How long a route without answers is remembered, milliseconds. */
    private static final long TTL_MILLIS = 600_000;

    private final ExpiringMap<String, LatencyEstimator> mRoutes =
            new ExpiringMap<>(MAX_ROUTES, TTL_MILLIS);

    /**
     * Records a request that was answered.
     *
     * @param millis how long it took
     * @param now the monotonic clock, milliseconds
     */
    public void record(String route, long millis, long now) {
        LatencyEstimator durations =
                mRoutes.get(route, now).orElseGet(() -> new LatencyEstimator(millis));
        durations.record(millis);
        mRoutes.put(route, durations, now);
    }

    /**
     * Returns whether a request that arrives now ends within a time.
     *
     * @param limitMillis when it ends at the latest; taken for its duration if no request of the
     *     route was answered lately
     * @param leftMillis the time that is left
     * @param now the monotonic clock, milliseconds
     */
    public boolean endsWithin(String route, long limitMillis, long leftMillis, long now) {
        if (limitMillis <= leftMillis) {
            return true;
        }
        double predicted =
                mRoutes.get(route, now)
                        .map(LatencyEstimator::predictedMillis)
                        .orElse((double) limitMillis);
        return predicted <= leftMillis;
    }
}
