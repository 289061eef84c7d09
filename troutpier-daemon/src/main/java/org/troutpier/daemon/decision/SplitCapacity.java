package org.troutpier.daemon.decision;

import org.troutpier.daemon.cluster.Demand;

/**
 * Computes the throughput of a service for a given split of its engines into prefill and decode
 * engines. Prefill engines are limited by tokens processed per time, decode engines by memory
 * occupied over time; the slower side determines the throughput. The demand passed in must be
 * measured: with enough completed runs and prefill samples. Stateless and thread safe.
 */
final class SplitCapacity {

    /**
     * Fraction of its prefill speed that an engine sustains under queued prompts of varying length.
     */
    private static final double PREFILL_UTILIZATION = 0.8;

    /** Fraction of its memory that a decode engine can use without preempting growing runs. */
    private static final double MEMORY_UTILIZATION = 0.8;

    /**
     * Prefill speed of a decode engine relative to that of a prefill engine, as published by the
     * platform.
     */
    private static final double DECODE_PREFILL_SPEED = 0.5;

    private SplitCapacity() {}

    /**
     * Returns the throughput of a split in requests per millisecond, at most the request rate.
     *
     * @param memoryTokens the memory of an engine, tokens
     */
    static double throughput(int prefill, int decode, long memoryTokens, Demand demand) {
        double decodes = decodeThroughput(decode, memoryTokens, demand);
        double prefills =
                prefill > 0
                        ? prefillThroughput(prefill, demand)
                        : unsplitThroughput(decode, memoryTokens, demand);
        return Math.min(demand.requestsPerMilli(), Math.min(prefills, decodes));
    }

    /** Returns the throughput of prefill engines in requests per millisecond. */
    static double prefillThroughput(int prefill, Demand demand) {
        double speed = demand.reading().tokensPerMilli() * PREFILL_UTILIZATION;
        return prefill * speed / demand.meanPromptTokens();
    }

    /** Returns the throughput of decode engines in requests per millisecond. */
    static double decodeThroughput(int decode, long memoryTokens, Demand demand) {
        return decodeThroughput(decode, memoryTokens, demand.meanMemoryTime());
    }

    /**
     * Returns the throughput of decode engines in requests per millisecond.
     *
     * @param memoryTokens the memory of an engine, tokens
     * @param memoryTime the memory that a run occupies times its duration, tokens times
     *     milliseconds
     */
    static double decodeThroughput(int decode, long memoryTokens, double memoryTime) {
        return decode * memoryTokens * MEMORY_UTILIZATION / memoryTime;
    }

    /**
     * Returns the throughput of decode engines that also run the prefills, in requests per
     * millisecond. During a prefill the engine's runs stall and occupy their memory for longer.
     */
    private static double unsplitThroughput(int decode, long memoryTokens, Demand demand) {
        double each = decodeThroughput(1, memoryTokens, demand);
        double prefillMillis =
                demand.meanPromptTokens()
                        / (demand.reading().tokensPerMilli() * DECODE_PREFILL_SPEED);
        return decode * each / (1 + each * prefillMillis);
    }
}
