package org.troutpier.daemon.growth;

/**
 * Means over the completed runs of a service. Immutable and thread safe.
 *
 * @param runs the number of runs
 * @param meanTokens the mean output, tokens
 * @param meanSquare the mean of the squared outputs; 0 if unknown
 * @param hintedRuns the number of runs whose callers had guessed the output
 * @param hintError the mean squared logarithm of the ratio of a guess to the output
 */
public record OutputSample(
        double runs, double meanTokens, double meanSquare, double hintedRuns, double hintError) {

    /** No completed run. */
    public static final OutputSample NONE = new OutputSample(0, 0, 0, 0, 0);
}
