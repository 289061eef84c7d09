package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What is known of the spread of outputs, as exponentially decaying sums that can be added over
 * routers. Immutable and thread safe.
 *
 * @param runs completed runs
 * @param tokens their outputs, tokens
 * @param squares the squares of their outputs
 * @param hintedRuns completed runs whose callers had guessed the output
 * @param hintErrors the squared logarithms of the ratios of these guesses to the outputs
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record OutputSums(
        double runs, double tokens, double squares, double hintedRuns, double hintErrors) {

    /**
     * Returns the sums of one completed run.
     *
     * @param outputTokens its output, tokens
     * @param hintTokens the caller's guess, tokens; 0 if there is none
     */
    static OutputSums of(long outputTokens, long hintTokens) {
        boolean hinted = outputTokens > 0 && hintTokens > 0;
        double error = hinted ? Math.log(hintTokens / (double) outputTokens) : 0;
        return new OutputSums(
                1,
                outputTokens,
                (double) outputTokens * outputTokens,
                hinted ? 1 : 0,
                error * error);
    }

    /**
     * Returns the sum of two, each of which may be null for none.
     *
     * @return the sum, or null for none
     */
    static OutputSums sum(OutputSums first, OutputSums second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return new OutputSums(
                first.runs + second.runs,
                first.tokens + second.tokens,
                first.squares + second.squares,
                first.hintedRuns + second.hintedRuns,
                first.hintErrors + second.hintErrors);
    }

    OutputSums scaled(double factor) {
        return new OutputSums(
                runs * factor,
                tokens * factor,
                squares * factor,
                hintedRuns * factor,
                hintErrors * factor);
    }
}
