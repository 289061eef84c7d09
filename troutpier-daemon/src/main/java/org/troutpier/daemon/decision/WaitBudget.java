package org.troutpier.daemon.decision;

/**
 * Decides how long a request may wait for memory at a decode engine. A request that can still meet
 * its target waits as long as its first event is predicted to arrive in time. One that is late
 * anyway waits as long as its caller is likely to stay connected, since a second refusal is the
 * worst outcome for it. Immutable and thread safe.
 *
 * <p>Waiting smooths bursts of a few seconds that slightly exceed the capacity of the engines, as
 * far as the target allows.
 *
 * @param targetMillis the target for the first event, milliseconds
 * @param elapsedMillis the time since the request arrived, milliseconds
 * @param remainingMillis the time that the caller and the route still allow, milliseconds
 * @param tier the queue tier of the request
 */
public record WaitBudget(
        long targetMillis, long elapsedMillis, long remainingMillis, QueueTier tier) {

    /**
     * Wait of a late request in multiples of the target. Callers abandon a stream after four
     * targets without an event; the fourth is left for the prefill.
     */
    private static final double LATE_TARGETS = 3;

    /**
     * Wait of a continued stream in multiples of the target. A crashed engine leaves many streams
     * to continue at once, which need more memory than new requests; callers retry those that are
     * not continued.
     */
    private static final double CONTINUED_TARGETS = 1;

    /** Returns how long the request may wait, in milliseconds, at least 0. */
    public long waitMillis(Prediction prediction) {
        double wait =
                switch (tier) {
                    case IN_TIME -> targetMillis - elapsedMillis - prediction.millis();
                    case CONTINUED -> targetMillis * CONTINUED_TARGETS - elapsedMillis;
                    case LATE -> targetMillis * LATE_TARGETS - elapsedMillis;
                };
        return (long) Math.max(0, Math.min(remainingMillis, wait));
    }

    /**
     * Returns whether the prefill may start now. It must meet the target, counted from the arrival
     * of the request or, if the request is late anyway, from now, so that late requests with long
     * prefills do not delay requests that are in time.
     */
    public boolean allowsPrefill(Prediction prediction) {
        double elapsed = late() ? 0 : elapsedMillis;
        return elapsed + prediction.millis() <= targetMillis;
    }

    /**
     * Returns whether the request is to be refused at once because its predicted wait is too long.
     *
     * @param predictedMillis the predicted wait, milliseconds
     */
    public boolean isExceededBy(double predictedMillis, Prediction prediction) {
        return predictedMillis > waitMillis(prediction);
    }

    /** Returns whether the request is not expected to meet its target. */
    private boolean late() {
        return tier != QueueTier.IN_TIME;
    }

    /**
     * The predicted latency between the allocation of memory and the first event. Immutable and
     * thread safe.
     *
     * @param prefillMillis the time until the prefill is complete, including prefills queued ahead
     * @param firstEventMillis the time from the end of the prefill to the first event
     */
    public record Prediction(double prefillMillis, double firstEventMillis) {

        /** Nothing is known of the latency. */
        public static final Prediction UNKNOWN = new Prediction(0, 0);

        /** Returns the whole latency, milliseconds. */
        public double millis() {
            return prefillMillis + firstEventMillis;
        }
    }
}
