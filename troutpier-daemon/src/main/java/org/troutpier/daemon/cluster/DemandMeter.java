package org.troutpier.daemon.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures the demand for each service. Confined to the traffic loop, except {@link #published} and
 * {@link #recentPromptTokens()}, which are thread safe.
 */
public final class DemandMeter {

    /** Shortest prompt whose prefill is a sample of an engine's speed, tokens. */
    private static final int MIN_SAMPLE_TOKENS = 1000;

    /** The demand for each service as of its last update. */
    private final Map<String, Demand> mDemands = new HashMap<>();

    /** When the demand for each service was last updated, milliseconds. */
    private final Map<String, Long> mUpdatedMillis = new HashMap<>();

    private volatile Map<String, Demand> mPublished = Map.of();

    /**
     * A completed run. Immutable and thread safe.
     *
     * @param promptTokens the length of its prompt
     * @param outputTokens the length of its output
     * @param millis its duration
     */
    public record CompletedRun(long promptTokens, long outputTokens, long millis) {}

    /**
     * Records a request at its first arrival.
     *
     * @param promptTokens the length of its prompt
     * @param now the monotonic clock, milliseconds
     */
    public void recordRequest(String service, long promptTokens, long now) {
        add(service, Demand.ofRequest(promptTokens), now);
    }

    /**
     * Records a completed run.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void recordRun(String service, CompletedRun run, long now) {
        add(service, Demand.ofRun(run), now);
    }

    /**
     * Records the output of a completed run.
     *
     * @param outputTokens the output, tokens
     * @param hintTokens the caller's guess, tokens; 0 if there is none
     * @param now the monotonic clock, milliseconds
     */
    public void recordOutput(String service, long outputTokens, long hintTokens, long now) {
        add(service, Demand.ofOutput(OutputSums.of(outputTokens, hintTokens)), now);
    }

    /**
     * Records a prefill that did not wait behind other prompts.
     *
     * @param tokens the length of the prompt
     * @param millis the duration of its prefill
     * @param now the monotonic clock, milliseconds
     */
    public void recordPrefill(String service, long tokens, long millis, long now) {
        if (tokens >= MIN_SAMPLE_TOKENS && millis > 0) {
            add(service, Demand.ofPrefill(PrefillLatencyModel.of(tokens, millis)), now);
        }
    }

    /**
     * Publishes the current demand for each service.
     *
     * @param now the monotonic clock, milliseconds
     */
    public Map<String, Demand> publish(long now) {
        Map<String, Demand> current = new HashMap<>();
        mDemands.keySet().forEach(service -> current.put(service, demandAt(service, now)));
        mPublished = Map.copyOf(current);
        return mPublished;
    }

    /** Returns the demand for a service as last published. */
    public Demand published(String service) {
        return mPublished.getOrDefault(service, Demand.NONE);
    }

    /** Returns the recent prompt tokens of all services as last published; thread safe. */
    double recentPromptTokens() {
        return mPublished.values().stream().mapToDouble(Demand::recentPromptTokens).sum();
    }

    private void add(String service, Demand more, long now) {
        mDemands.put(service, demandAt(service, now).plus(more));
        mUpdatedMillis.put(service, now);
    }

    private Demand demandAt(String service, long now) {
        Demand last = mDemands.getOrDefault(service, Demand.NONE);
        return last.decayed(now - mUpdatedMillis.getOrDefault(service, now));
    }
}
