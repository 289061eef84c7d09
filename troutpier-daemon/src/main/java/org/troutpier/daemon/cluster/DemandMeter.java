package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures demand by service. Confined to the traffic loop, except {@link #published}, which is
 * thread safe.
 */
public final class DemandMeter {

    /** The shortest prompt whose reading tells an engine's pace, tokens. */
    private static final int LEAST_PACED = 1000;

    /** The demand of each service when it last changed. */
    private final Map<String, Demand> mDemand = new HashMap<>();

    /** When each service's demand last changed, milliseconds. */
    private final Map<String, Long> mChanged = new HashMap<>();

    /** The demand of each service as it was published last. */
    private volatile Map<String, Demand> mPublished = Map.of();

    /**
     * A run that was completed. Immutable and thread safe.
     *
     * @param promptTokens its prompt's length
     * @param outputTokens what it made
     * @param millis how long it ran
     */
    public record CompletedRun(long promptTokens, long outputTokens, long millis) {}

    /**
     * Records a request that came for the first time.
     *
     * @param service its service
     * @param promptTokens its prompt's length
     * @param now the monotonic clock, milliseconds
     */
    public void recordRequest(String service, long promptTokens, long now) {
        add(service, Demand.ofRequest(promptTokens), now);
    }

    /**
     * Records a run that was completed.
     *
     * @param service its service
     * @param run the run
     * @param now the monotonic clock, milliseconds
     */
    public void recordRun(String service, CompletedRun run, long now) {
        add(service, Demand.ofRun(run), now);
    }

    /**
     * Records a prompt that was read without anything waiting before it.
     *
     * @param service its service
     * @param tokens its length
     * @param millis how long it took
     * @param now the monotonic clock, milliseconds
     */
    public void recordPrefill(String service, long tokens, long millis, long now) {
        if (tokens >= LEAST_PACED && millis > 0) {
            add(service, Demand.ofReading(PrefillLatencyModel.of(tokens, millis)), now);
        }
    }

    /**
     * Publishes the demand of each service.
     *
     * @param now the monotonic clock, milliseconds
     * @return the demand by service
     */
    public Map<String, Demand> publish(long now) {
        Map<String, Demand> current = new HashMap<>();
        mDemand.keySet().forEach(service -> current.put(service, at(service, now)));
        mPublished = Map.copyOf(current);
        return mPublished;
    }

    /**
     * Returns a service's demand as it was published last.
     *
     * @param service the service
     * @return the demand
     */
    public Demand published(String service) {
        return mPublished.getOrDefault(service, Demand.NONE);
    }

    /**
     * Adds to a service's demand.
     *
     * @param service the service
     * @param more what is added
     * @param now the monotonic clock, milliseconds
     */
    private void add(String service, Demand more, long now) {
        mDemand.put(service, at(service, now).plus(more));
        mChanged.put(service, now);
    }

    /**
     * Returns a service's demand.
     *
     * @param service the service
     * @param now the monotonic clock, milliseconds
     * @return the demand now
     */
    private Demand at(String service, long now) {
        Demand before = mDemand.getOrDefault(service, Demand.NONE);
        return before.after(now - mChanged.getOrDefault(service, now));
    }
}
