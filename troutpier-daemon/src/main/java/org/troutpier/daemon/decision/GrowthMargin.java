package org.troutpier.daemon.decision;

/**
 * Decides how much of an engine's memory stays free for the growth of what runs there. Between two
 * runs' ends the others grow by the mean output of one run on average, whatever their number, and
 * the growth is spread about exponentially; so the room is counted in mean outputs, and each more
 * of them makes preemption e times rarer. How rare it should be depends on what it costs: on
 * engines whose events carry many tokens it makes all neighbours pause, on others it costs one
 * prompt read again. That shows in the pauses of streams, so the margin grows with each pause
 * beyond what a route allows and shrinks with each refusal for want of memory.
 *
 * <p>It answers loads near what the engines' memory holds. A margin that fits one kind of engine
 * halved the worth of a heavy day on another (0.30 to 0.13) or cost 0.05 of it.
 *
 * <p>Confined to the traffic loop. Invariant: the margin stays between its two bounds.
 */
public final class GrowthMargin {

    /** How many mean outputs stay free at first: preemption is expected once in forty ends. */
    private static final double FIRST_OUTPUTS = 3.8;

    /** The fewest mean outputs that stay free: preemption once in six ends. */
    private static final double LEAST_OUTPUTS = 1.9;

    /** The most mean outputs that stay free: preemption once in four hundred ends. */
    private static final double MOST_OUTPUTS = 6;

    /** By how many mean outputs a pause raises the margin. */
    private static final double RAISE = 0.7;

    /** By how many mean outputs a refusal lowers it: seventy refusals outweigh a pause. */
    private static final double LOWER = 0.01;

    /** The pause after which another one counts again: one preemption makes many streams pause. */
    private static final long PAUSE_MILLIS = 500;

    /**
     * Which part of the most output the mean is taken for at least. Short runs end first, so in a
     * burst the measured mean is too low, which is when the margin matters.
     */
    private static final double LEAST_MEAN_PART = 0.42;

    /** Which part of an engine's memory is kept free for growth at most. */
    private static final double MOST_PART = 0.5;

    /** How many mean outputs stay free. */
    private double mOutputs = FIRST_OUTPUTS;

    /** When a pause counted last, milliseconds. */
    private long mPaused = -PAUSE_MILLIS;

    /**
     * Returns the margin.
     *
     * @param meanOutput the mean output of runs, tokens; 0 for unknown
     * @param mostOutput the most that the request may make, tokens
     * @param memoryTokens how much memory the engine has
     * @return tokens that stay free
     */
    public double tokens(double meanOutput, long mostOutput, long memoryTokens) {
        double mean = Math.max(meanOutput, mostOutput * LEAST_MEAN_PART);
        return Math.min(mOutputs * mean, memoryTokens * MOST_PART);
    }

    /**
     * Takes note of a pause in a stream beyond what its route allows.
     *
     * @param now the monotonic clock, milliseconds
     */
    public void recordPause(long now) {
        if (now - mPaused >= PAUSE_MILLIS) {
            mPaused = now;
            mOutputs = Math.min(MOST_OUTPUTS, mOutputs + RAISE);
        }
    }

    /** Takes note of a refusal for want of memory. */
    public void recordRefusal() {
        mOutputs = Math.max(LEAST_OUTPUTS, mOutputs - LOWER);
    }

    /**
     * Returns how many mean outputs stay free.
     *
     * @return the count
     */
    public double meanOutputs() {
        return mOutputs;
    }
}
