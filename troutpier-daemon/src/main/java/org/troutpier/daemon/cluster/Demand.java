package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What callers asked of one model service lately, as decaying sums that add up over routers.
 * Immutable and thread safe.
 *
 * @param promptTokens prompt tokens of the requests that came, each request once
 * @param requests requests that came; one that comes back after a refusal is not counted again
 * @param memoryTime memory that completed runs took, each for as long as it ran, in tokens times
 *     milliseconds
 * @param runMillis time that completed runs took
 * @param outputTokens what completed runs made
 * @param runs completed runs
 * @param reading how fast prefill engines read
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Demand(
        double promptTokens,
        double requests,
        double memoryTime,
        double runMillis,
        double outputTokens,
        double runs,
        PrefillLatencyModel reading) {

    /** No demand. */
    public static final Demand NONE = new Demand(0, 0, 0, 0, 0, 0, PrefillLatencyModel.NONE);

    /**
     * After which time a sum has decayed to 1/e, milliseconds: two bursts, so that one burst alone
     * does not outweigh what came before.
     */
    public static final double DECAY_MILLIS = 10_000;

    /** How many completed runs make a measurement. */
    private static final double LEAST_RUNS = 5;

    /**
     * Makes the demand of one request.
     *
     * @param promptTokens its prompt's length
     * @return the sums
     */
    static Demand ofRequest(double promptTokens) {
        return new Demand(promptTokens, 1, 0, 0, 0, 0, PrefillLatencyModel.NONE);
    }

    /**
     * Makes the demand that one completed run shows.
     *
     * @param run the run
     * @return the sums
     */
    static Demand ofRun(DemandMeter.CompletedRun run) {
        double mean = run.promptTokens() + run.outputTokens() / 2.0;
        return new Demand(
                0,
                0,
                mean * run.millis(),
                run.millis(),
                run.outputTokens(),
                1,
                PrefillLatencyModel.NONE);
    }

    /**
     * Makes the demand that one reading shows.
     *
     * @param reading the reading
     * @return the sums
     */
    static Demand ofReading(PrefillLatencyModel reading) {
        return new Demand(0, 0, 0, 0, 0, 0, reading);
    }

    /**
     * Returns the demand of two routers together.
     *
     * @param other the other's
     * @return the sum
     */
    public Demand plus(Demand other) {
        return new Demand(
                promptTokens + other.promptTokens,
                requests + other.requests,
                memoryTime + other.memoryTime,
                runMillis + other.runMillis,
                outputTokens + other.outputTokens,
                runs + other.runs,
                reading.plus(other.reading));
    }

    /**
     * Returns the demand after some time without anything new.
     *
     * @param millis the time
     * @return the decayed sums
     */
    public Demand after(double millis) {
        double left = Math.exp(-millis / DECAY_MILLIS);
        return new Demand(
                promptTokens * left,
                requests * left,
                memoryTime * left,
                runMillis * left,
                outputTokens * left,
                runs * left,
                reading.times(left));
    }

    /**
     * Returns whether enough runs were completed to go by what they took.
     *
     * @return whether runs are measured
     */
    public boolean hasEnoughRuns() {
        return runs >= LEAST_RUNS;
    }

    /**
     * Returns how many requests come.
     *
     * @return requests a millisecond
     */
    public double requestsPerMilli() {
        return requests / DECAY_MILLIS;
    }

    /**
     * Returns the mean length of a prompt.
     *
     * @return tokens; 0 for unknown
     */
    public double meanPromptTokens() {
        return requests > 0 ? promptTokens / requests : 0;
    }

    /**
     * Returns what a run takes of a decode engine: memory times time.
     *
     * @return tokens times milliseconds; 0 for unknown
     */
    public double meanMemoryTime() {
        return runs > 0 ? memoryTime / runs : 0;
    }

    /**
     * Returns how long a run takes.
     *
     * @return milliseconds; 0 for unknown
     */
    public double meanRunMillis() {
        return runs > 0 ? runMillis / runs : 0;
    }

    /**
     * Returns what a run makes.
     *
     * @return tokens; 0 for unknown
     */
    public double meanOutputTokens() {
        return runs > 0 ? outputTokens / runs : 0;
    }
}
