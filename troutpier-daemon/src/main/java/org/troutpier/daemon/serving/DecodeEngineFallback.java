package org.troutpier.daemon.serving;

/**
 * Decides when a decode engine processes a prompt itself because its prefill engines are silent and
 * cannot be replaced. Immutable and thread safe. Intended for prefill engines of which some pause
 * for about a second and go on, and others never answer again: a caller that waits for one of the
 * latter gets nothing, while one whose decode engine begins too early only gets its first event
 * later.
 *
 * @param predictedMillis the predicted time in which the decode engine processes the prompt,
 *     milliseconds; 0 for unknown
 */
record DecodeEngineFallback(double predictedMillis) {

    /** Checks the prediction. */
    DecodeEngineFallback {
        if (!(predictedMillis >= 0)) {
            throw new IllegalArgumentException("not a duration: " + predictedMillis);
        }
    }

    /**
     * Returns whether the decode engine is to process the prompt now. As for any wait of unknown
     * length, the rest is expected to take as long as what has passed; so the decode engine begins
     * once it is predicted to take no longer than that, and only if it is done by the deadline.
     *
     * @param waitedMillis the time since the first prefill was sent that is not answered yet,
     *     milliseconds
     * @param remainingMillis the time until the deadline, milliseconds
     */
    boolean isDue(long waitedMillis, long remainingMillis) {
        return predictedMillis <= waitedMillis && predictedMillis < remainingMillis;
    }
}
