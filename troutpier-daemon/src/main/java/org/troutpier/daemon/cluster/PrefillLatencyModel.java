package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A linear model of prefill time, as decaying sums over prefills that did not wait behind others.
 * Immutable and thread safe. It separates the time for each token from the fixed time of a call.
 * Without that, engines that prefill 33 tokens a millisecond appeared to do 16; half of the prompts
 * that would have been in time were refused, and one prefill engine too many was assigned (in a
 * simulation with three bursts).
 *
 * @param count prefills
 * @param tokens their tokens
 * @param millis their time
 * @param tokensSquared the sum of the squares of their tokens
 * @param tokensMillis the sum of the products of their tokens and their time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PrefillLatencyModel(
        double count, double tokens, double millis, double tokensSquared, double tokensMillis) {

    /** A model without samples. */
    public static final PrefillLatencyModel NONE = new PrefillLatencyModel(0, 0, 0, 0, 0);

    /** Number of samples from which the two parameters are separated. */
    private static final double MIN_SAMPLES = 5;

    /**
     * Least standard deviation of prompt lengths for separating the parameters, as a fraction of
     * their mean.
     */
    private static final double MIN_RELATIVE_DEVIATION = 0.1;

    /**
     * Largest ratio of the estimated throughput to the mean throughput: where other work disturbed
     * the samples, the fitted line may be almost level.
     */
    private static final double MAX_CORRECTION = 4;

    /**
     * Prefill speed of a decode engine relative to that of a prefill engine, as published by the
     * platform.
     */
    private static final double DECODE_ENGINE_SPEED = 0.5;

    /**
     * Returns the model of one sample.
     *
     * @param tokens the length of the prompt
     * @param millis the duration of its prefill
     */
    static PrefillLatencyModel of(double tokens, double millis) {
        return new PrefillLatencyModel(1, tokens, millis, tokens * tokens, tokens * millis);
    }

    PrefillLatencyModel plus(PrefillLatencyModel other) {
        return new PrefillLatencyModel(
                count + other.count,
                tokens + other.tokens,
                millis + other.millis,
                tokensSquared + other.tokensSquared,
                tokensMillis + other.tokensMillis);
    }

    /** Returns this model decayed by a factor. */
    PrefillLatencyModel scaled(double factor) {
        return new PrefillLatencyModel(
                count * factor,
                tokens * factor,
                millis * factor,
                tokensSquared * factor,
                tokensMillis * factor);
    }

    /** Returns whether there are enough samples to use the model. */
    public boolean hasEnoughSamples() {
        return count >= MIN_SAMPLES && millis > 0;
    }

    /**
     * Returns the throughput without the fixed time of a call.
     *
     * @return prompt tokens a millisecond; 0 for unknown
     */
    public double tokensPerMilli() {
        if (millis <= 0) {
            return 0;
        }
        double meanThroughput = tokens / millis;
        if (count < MIN_SAMPLES) {
            return meanThroughput;
        }
        double meanTokens = tokens / count;
        double variance = tokensSquared / count - meanTokens * meanTokens;
        double covariance = tokensMillis / count - meanTokens * millis / count;
        boolean tooUniform = variance < Math.pow(MIN_RELATIVE_DEVIATION * meanTokens, 2);
        if (tooUniform || covariance <= 0) {
            return meanThroughput;
        }
        return Math.max(
                meanThroughput, Math.min(MAX_CORRECTION * meanThroughput, variance / covariance));
    }

    /**
     * Returns the time of a call that does not depend on the length of the prompt.
     *
     * @return milliseconds
     */
    public double fixedMillis() {
        double throughput = tokensPerMilli();
        return throughput <= 0 ? 0 : Math.max(0, millis / count - tokens / count / throughput);
    }

    /**
     * Predicts the duration of a prefill.
     *
     * @param tokensWithQueue the length of the prompt and of those that wait before it, tokens
     * @return milliseconds; 0 where the throughput is not known
     */
    public double predictedMillis(double tokensWithQueue) {
        double throughput = tokensPerMilli();
        return throughput <= 0 ? 0 : fixedMillis() + tokensWithQueue / throughput;
    }

    /**
     * Predicts the duration of a prefill at a decode engine, between the events of its runs.
     *
     * @param promptTokens the length of the prompt
     * @return milliseconds; 0 where the throughput is not known
     */
    public double predictedDecodeEngineMillis(double promptTokens) {
        return predictedMillis(promptTokens / DECODE_ENGINE_SPEED);
    }
}
