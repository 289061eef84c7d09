package org.troutpier.daemon.decision;

/**
 * Decides how much memory of an engine stays free for the output of its active runs. Between the
 * completions of two runs, the others grow in total by the mean output of one run on average,
 * whatever their number, and this growth is about exponentially distributed. The margin is
 * therefore measured in mean outputs; each additional one makes preemption e times rarer.
 *
 * <p>How rare preemption should be depends on its cost. On engines whose events carry many tokens
 * it makes all concurrent runs pause, on others it costs one repeated prefill. The difference shows
 * in the pauses of streams, so the margin grows with each pause beyond what the route allows and
 * shrinks with each refusal for lack of memory.
 *
 * <p>The margin matters at loads close to the memory capacity of the engines. No fixed margin suits
 * every kind of engine: in simulations, a fixed margin that suits one kind of engine lowered the
 * score of a heavily loaded run on another from 0.30 to 0.13 in one case, and by 0.05 in another.
 *
 * <p>Not thread safe; confined to the traffic loop. Invariant: the margin stays between its minimum
 * and maximum.
 */
public final class GrowthMargin {

    /** Initial margin in mean outputs: one preemption expected in forty completions. */
    private static final double INITIAL_OUTPUTS = 3.8;

    /** Minimum margin in mean outputs: one preemption expected in six completions. */
    private static final double MIN_OUTPUTS = 1.9;

    /** Maximum margin in mean outputs: one preemption expected in four hundred completions. */
    private static final double MAX_OUTPUTS = 6;

    /** Number of mean outputs by which a pause raises the margin. */
    private static final double PAUSE_INCREMENT = 0.7;

    /** Number of mean outputs by which a refusal lowers the margin; 70 refusals offset a pause. */
    private static final double REFUSAL_DECREMENT = 0.01;

    /**
     * Minimum interval between two pauses that count, milliseconds, since one preemption pauses
     * many streams.
     */
    private static final long PAUSE_INTERVAL_MILLIS = 500;

    /**
     * Lower bound of the mean output as a fraction of the maximum output. Short runs complete
     * first, so the measured mean is too low during a burst, which is when the margin matters.
     */
    private static final double MIN_MEAN_FRACTION = 0.42;

    /** Maximum margin as a fraction of an engine's memory. */
    private static final double MAX_MEMORY_FRACTION = 0.5;

    private double mMeanOutputs = INITIAL_OUTPUTS;

    /** Time of the last pause that counted, milliseconds. */
    private long mLastPause = -PAUSE_INTERVAL_MILLIS;

    /**
     * Returns the margin in tokens.
     *
     * @param meanOutput the mean output of runs, tokens; 0 if unknown
     * @param maxOutput the maximum output of the request, tokens
     * @param memoryTokens the memory of the engine, tokens
     */
    public double tokens(double meanOutput, long maxOutput, long memoryTokens) {
        double mean = Math.max(meanOutput, maxOutput * MIN_MEAN_FRACTION);
        return Math.min(mMeanOutputs * mean, memoryTokens * MAX_MEMORY_FRACTION);
    }

    /**
     * Records a pause in a stream beyond what its route allows.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void recordPause(long now) {
        if (now - mLastPause >= PAUSE_INTERVAL_MILLIS) {
            mLastPause = now;
            mMeanOutputs = Math.min(MAX_OUTPUTS, mMeanOutputs + PAUSE_INCREMENT);
        }
    }

    /** Records a refusal for lack of memory. */
    public void recordRefusal() {
        mMeanOutputs = Math.max(MIN_OUTPUTS, mMeanOutputs - REFUSAL_DECREMENT);
    }

    /**
     * Returns by which factor preemption has to be rarer than at first, at least 1, because streams
     * have paused.
     */
    public double caution() {
        return Math.exp(Math.max(0, mMeanOutputs - INITIAL_OUTPUTS));
    }

    /** Returns the margin in mean outputs. */
    public double meanOutputs() {
        return mMeanOutputs;
    }
}
