package org.troutpier.daemon.pace;

/**
 * Decides when an engine that has not answered a prefill counts as silent. Not thread safe;
 * confined to the traffic loop. Invariants: an engine is not silent before the time that its load
 * and pace explain, nor while it answers other prefills; it is silent after {@link
 * Limits#maxMillis()}.
 *
 * <p>Intended for bursts that reach several routers at once. The prompts that other routers have
 * queued at the engine become known only after the call was sent; with the time-out of the queue
 * known at the start, prompts are read twice when capacity is short.
 */
public final class PrefillWatch {

    /**
     * Weight of measurements since the last check from which the engine counts as answering: one
     * answer to a call without a long queue within the last 400 ms.
     */
    private static final double MIN_ANSWERED_WEIGHT = 0.25;

    private final Limits mLimits;

    private final long mStart;

    /** The longest predicted duration so far, milliseconds. */
    private double mExplainedMillis;

    /** When the engine last answered any prefill, or the call was sent, milliseconds. */
    private long mAnsweredAt;

    private long mCheckedAt;

    /** The recent weight at the last check. */
    private double mCheckedWeight;

    /**
     * The limits of a time-out. Immutable and thread safe.
     *
     * @param factor the time-out in multiples of the predicted duration
     * @param minMillis the shortest time-out, milliseconds
     * @param maxMillis the longest time-out, milliseconds
     */
    public record Limits(double factor, long minMillis, long maxMillis) {

        /** Checks the order of the limits. */
        public Limits {
            if (factor < 1 || minMillis > maxMillis) {
                throw new IllegalArgumentException("limits out of order");
            }
        }

        private long bounded(double millis) {
            return (long) Math.min(maxMillis, Math.max(minMillis, millis));
        }
    }

    /**
     * What is known of the engine. Immutable and thread safe.
     *
     * @param predictedMillis the predicted time to process all prompts that are now known to be
     *     queued there, this one included, at the engine's pace, milliseconds; 0 for unknown
     * @param recentWeight the weight of recent measurements; see {@link PaceEstimate#recentWeight}
     */
    public record EngineState(double predictedMillis, double recentWeight) {}

    /**
     * Starts to watch a call.
     *
     * @param now the monotonic clock, milliseconds
     */
    public PrefillWatch(Limits limits, EngineState state, long now) {
        mLimits = limits;
        mStart = now;
        mExplainedMillis = state.predictedMillis();
        mAnsweredAt = now;
        mCheckedAt = now;
        mCheckedWeight = state.recentWeight();
    }

    /**
     * Returns how long the engine may remain without an answer from now on.
     *
     * @param now the monotonic clock, milliseconds
     * @return milliseconds; 0 if it is silent
     */
    public long remainingMillis(EngineState state, long now) {
        mExplainedMillis = Math.max(mExplainedMillis, state.predictedMillis());
        double decay = Math.exp(-(now - mCheckedAt) / PaceReport.RECENT_DECAY_MILLIS);
        if (state.recentWeight() - mCheckedWeight * decay >= MIN_ANSWERED_WEIGHT) {
            mAnsweredAt = now;
        }
        mCheckedAt = now;
        mCheckedWeight = state.recentWeight();
        long end =
                Math.max(
                        mStart + explainedLimit(),
                        mAnsweredAt == mStart ? mStart : mAnsweredAt + mLimits.minMillis());
        return Math.max(0, Math.min(end, mStart + mLimits.maxMillis()) - now);
    }

    private long explainedLimit() {
        return mExplainedMillis <= 0
                ? mLimits.maxMillis()
                : mLimits.bounded(mExplainedMillis * mLimits.factor());
    }
}
