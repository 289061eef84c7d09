package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.troutpier.daemon.growth.OutputSample;

/**
 * The recent demand for a model service, as exponentially decaying sums that can be added over
 * routers. Immutable and thread safe.
 *
 * @param promptTokens prompt tokens of the requests that arrived, each request counted once
 * @param requests requests that arrived; one that returns after a refusal is not counted again
 * @param memoryTime engine memory of completed runs multiplied by their duration,
 *     token-milliseconds
 * @param runMillis duration of completed runs
 * @param outputTokens output tokens of completed runs
 * @param runs completed runs
 * @param reading samples of prefill time
 * @param recentPromptTokens prompt tokens like {@code promptTokens}, decaying within {@link
 *     #RECENT_MILLIS}; 0 from routers that do not report them
 * @param outputs the spread of outputs; null where nothing is recorded of it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Demand(
        double promptTokens,
        double requests,
        double memoryTime,
        double runMillis,
        double outputTokens,
        double runs,
        PrefillLatencyModel reading,
        double recentPromptTokens,
        OutputSums outputs) {

    /** No demand. */
    public static final Demand NONE =
            new Demand(0, 0, 0, 0, 0, 0, PrefillLatencyModel.NONE, 0, null);

    /**
     * Time in which a sum decays to 1/e, milliseconds: the length of two bursts, so that one burst
     * does not outweigh everything before it.
     */
    public static final double DECAY_MILLIS = 10_000;

    /**
     * Time in which the sum of recent prompts decays to 1/e, milliseconds: a third of a burst, so
     * that its end shows while those that were refused in it are still to return.
     */
    public static final double RECENT_MILLIS = 1500;

    /** Number of completed runs from which means are used. */
    private static final double MIN_RUNS = 5;

    static Demand ofRequest(double promptTokens) {
        return new Demand(
                promptTokens, 1, 0, 0, 0, 0, PrefillLatencyModel.NONE, promptTokens, null);
    }

    /**
     * Returns the demand of one completed run. Its memory grows from the prompt to prompt and
     * output, so the mean is the prompt and half the output.
     */
    static Demand ofRun(DemandMeter.CompletedRun run) {
        double meanTokens = run.promptTokens() + run.outputTokens() / 2.0;
        return new Demand(
                0,
                0,
                meanTokens * run.millis(),
                run.millis(),
                run.outputTokens(),
                1,
                PrefillLatencyModel.NONE,
                0,
                null);
    }

    static Demand ofPrefill(PrefillLatencyModel prefill) {
        return new Demand(0, 0, 0, 0, 0, 0, prefill, 0, null);
    }

    static Demand ofOutput(OutputSums outputs) {
        return new Demand(0, 0, 0, 0, 0, 0, PrefillLatencyModel.NONE, 0, outputs);
    }

    /** Returns the sum of this demand and another. */
    public Demand plus(Demand other) {
        return new Demand(
                promptTokens + other.promptTokens,
                requests + other.requests,
                memoryTime + other.memoryTime,
                runMillis + other.runMillis,
                outputTokens + other.outputTokens,
                runs + other.runs,
                reading.plus(other.reading),
                recentPromptTokens + other.recentPromptTokens,
                OutputSums.sum(outputs, other.outputs));
    }

    /**
     * Returns this demand decayed by a time without new requests.
     *
     * @param millis the time
     */
    public Demand decayed(double millis) {
        double factor = Math.exp(-millis / DECAY_MILLIS);
        return new Demand(
                promptTokens * factor,
                requests * factor,
                memoryTime * factor,
                runMillis * factor,
                outputTokens * factor,
                runs * factor,
                reading.scaled(factor),
                recentPromptTokens * Math.exp(-millis / RECENT_MILLIS),
                outputs == null ? null : outputs.scaled(factor));
    }

    /** Returns whether enough runs were completed for their means to be used. */
    public boolean hasEnoughRuns() {
        return runs >= MIN_RUNS;
    }

    /** Returns the rate of requests, per millisecond. */
    public double requestsPerMilli() {
        return requests / DECAY_MILLIS;
    }

    /** Returns the current rate of prompts, in tokens per millisecond. */
    public double recentPromptTokensPerMilli() {
        return recentPromptTokens / RECENT_MILLIS;
    }

    /**
     * Returns the rate of prompts that is likely to last, in tokens per millisecond: the lower one
     * of the current rate and that over the last seconds, so that neither the beginning of a burst
     * nor its end is taken for lasting.
     */
    public double sustainedPromptTokensPerMilli() {
        return Math.min(promptTokens / DECAY_MILLIS, recentPromptTokensPerMilli());
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
     * Returns the mean memory-time that a run takes at a decode engine.
     *
     * @return token-milliseconds; 0 for unknown
     */
    public double meanMemoryTime() {
        return runs > 0 ? memoryTime / runs : 0;
    }

    /**
     * Returns the mean duration of a run.
     *
     * @return milliseconds; 0 for unknown
     */
    public double meanRunMillis() {
        return runs > 0 ? runMillis / runs : 0;
    }

    /** Returns the means over the completed runs whose output was recorded. */
    public OutputSample outputSample() {
        if (outputs == null || outputs.runs() <= 0) {
            return OutputSample.NONE;
        }
        return new OutputSample(
                outputs.runs(),
                outputs.tokens() / outputs.runs(),
                outputs.squares() / outputs.runs(),
                outputs.hintedRuns(),
                outputs.hintedRuns() > 0 ? outputs.hintErrors() / outputs.hintedRuns() : 0);
    }

    /**
     * Returns the mean output of a run.
     *
     * @return tokens; 0 for unknown
     */
    public double meanOutputTokens() {
        return runs > 0 ? outputTokens / runs : 0;
    }
}
