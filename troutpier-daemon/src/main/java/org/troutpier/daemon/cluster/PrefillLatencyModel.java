package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * How fast prefill engines read prompts, as decaying sums over readings that nothing waited before.
 * Immutable and thread safe. Two figures are told apart: what each token takes, and what each call
 * takes whatever its length. With the time of a call counted as reading, engines of 33 tokens a
 * millisecond seemed to read 16, half of the prompts that could have been read in time were refused
 * and an engine too many was wanted for reading (from the lines of a day with three bursts).
 *
 * @param count readings
 * @param tokens their tokens
 * @param millis their time
 * @param tokensSquared the sum of the squares of their tokens
 * @param tokensMillis the sum of the products of their tokens and their time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PrefillLatencyModel(
        double count, double tokens, double millis, double tokensSquared, double tokensMillis) {

    /** No reading. */
    public static final PrefillLatencyModel NONE = new PrefillLatencyModel(0, 0, 0, 0, 0);

    /** How many readings tell the two figures apart. */
    private static final double LEAST_COUNT = 5;

    /** How much prompts must vary in length for it, in parts of their mean. */
    private static final double LEAST_VARIATION = 0.1;

    /**
     * How many times the plain quotient the pace may be at most: with readings that were disturbed
     * by others a line through them may be almost level.
     */
    private static final double MOST_CORRECTION = 4;

    /**
     * Makes the sums of one reading.
     *
     * @param tokens the prompt's length
     * @param millis how long it took
     * @return the sums
     */
    static PrefillLatencyModel of(double tokens, double millis) {
        return new PrefillLatencyModel(1, tokens, millis, tokens * tokens, tokens * millis);
    }

    /**
     * Returns the sums of both.
     *
     * @param other the other's
     * @return the sum
     */
    PrefillLatencyModel plus(PrefillLatencyModel other) {
        return new PrefillLatencyModel(
                count + other.count,
                tokens + other.tokens,
                millis + other.millis,
                tokensSquared + other.tokensSquared,
                tokensMillis + other.tokensMillis);
    }

    /**
     * Returns the sums after they have decayed.
     *
     * @param left which part is left
     * @return the decayed sums
     */
    PrefillLatencyModel times(double left) {
        return new PrefillLatencyModel(
                count * left,
                tokens * left,
                millis * left,
                tokensSquared * left,
                tokensMillis * left);
    }

    /**
     * Returns whether there were enough readings to go by.
     *
     * @return whether the pace is measured
     */
    public boolean hasEnoughSamples() {
        return count >= LEAST_COUNT && millis > 0;
    }

    /**
     * Returns the pace without the fixed time of a call.
     *
     * @return prompt tokens a millisecond; 0 for unknown
     */
    public double tokensPerMilli() {
        if (millis <= 0) {
            return 0;
        }
        double quotient = tokens / millis;
        if (count < LEAST_COUNT) {
            return quotient;
        }
        double mean = tokens / count;
        double variance = tokensSquared / count - mean * mean;
        double together = tokensMillis / count - mean * millis / count;
        boolean alike = variance < Math.pow(LEAST_VARIATION * mean, 2);
        if (alike || together <= 0) {
            return quotient;
        }
        return Math.max(quotient, Math.min(MOST_CORRECTION * quotient, variance / together));
    }

    /**
     * Returns what a call takes whatever its length.
     *
     * @return milliseconds
     */
    public double fixedMillis() {
        double pace = tokensPerMilli();
        return pace <= 0 ? 0 : Math.max(0, millis / count - tokens / count / pace);
    }

    /**
     * Predicts how long a prompt's reading takes.
     *
     * @param tokensWithQueue its length and that of what waits before it, tokens
     * @return milliseconds; 0 where the pace is not known
     */
    public double predictedMillis(double tokensWithQueue) {
        double pace = tokensPerMilli();
        return pace <= 0 ? 0 : fixedMillis() + tokensWithQueue / pace;
    }
}
