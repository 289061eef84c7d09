package org.troutpier.daemon.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * When requests that are predicted to be late are admitted one at a time, to check the prediction.
 * Only admitted requests are measured, so a prediction by which all are late would never be
 * corrected. Confined to the traffic loop.
 */
public final class PredictionCheck {

    /**
     * Time without any measurement after which a prediction is checked, milliseconds: several times
     * as long as a report and a prefill take.
     */
    private static final long CHECK_AFTER_MILLIS = 1000;

    /** A measurement below this part of the prediction contradicts it. */
    private static final double CONTRADICTING_PART = 0.5;

    private final Map<String, State> mStates = new HashMap<>();

    /** What is known of one service. Confined to the traffic loop. */
    private static final class State {

        /** The weight of the measurements of all routers when it was last asked for. */
        private double mWeight;

        /** When that weight was last found to have grown, milliseconds. */
        private long mMeasuredAt;

        /** Whether a request may have been admitted as a check since the last measurement. */
        private boolean mChecking;

        /** Whether the last check contradicts the prediction. */
        private boolean mContradicted;
    }

    private State state(String service) {
        return mStates.computeIfAbsent(service, key -> new State());
    }

    /**
     * Records a measurement of this router.
     *
     * @param predictedMillis what was predicted for it
     * @param millis what was measured
     */
    public void recordMeasurement(String service, double predictedMillis, double millis) {
        State state = state(service);
        state.mContradicted = state.mChecking && millis < CONTRADICTING_PART * predictedMillis;
        state.mChecking = false;
    }

    /**
     * Returns whether a request that is predicted to be late may be admitted: no router has added a
     * measurement lately, or the last check contradicts the prediction.
     *
     * @param weight the weight of the measurements of all routers, which decays between them
     * @param now the monotonic clock, milliseconds
     */
    public boolean isDue(String service, double weight, long now) {
        State state = state(service);
        if (weight > state.mWeight) {
            state.mMeasuredAt = now;
        }
        state.mWeight = weight;
        return state.mContradicted || now - state.mMeasuredAt >= CHECK_AFTER_MILLIS;
    }

    /** Records that a request may be admitted as a check. */
    public void recordCheck(String service) {
        state(service).mChecking = true;
    }
}
