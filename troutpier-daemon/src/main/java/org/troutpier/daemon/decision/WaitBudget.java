package org.troutpier.daemon.decision;

/**
 * Decides how long one request may wait for memory at a decode engine. One that can still be in
 * time waits exactly as long as its first event is predicted to come within its target; one that is
 * late anyway waits while its caller is likely to be there, since sending it away a second time is
 * the worst that can happen to it. Pure. Immutable and thread safe.
 *
 * <p>It answers bursts of a few seconds a little above what the engines can take: waiting smooths
 * them as long as the target allows.
 *
 * @param targetMillis within which time the first event is due
 * @param elapsedMillis how long ago the request came
 * @param remainingMillis how long its caller and its route still allow
 * @param tier whether it can still be in time
 */
public record WaitBudget(
        long targetMillis, long elapsedMillis, long remainingMillis, QueueTier tier) {

    /**
     * How many targets a late request waits: callers give a stream up after four without an event,
     * and one is left for its prompt.
     */
    private static final double LATE_TARGETS = 3;

    /**
     * How many targets a stream waits that is to be continued. An engine that crashes leaves many
     * at once, which need more memory than new ones; what is not continued its caller asks for
     * again.
     */
    private static final double CONTINUED_TARGETS = 1;

    /**
     * Returns how long the request may wait.
     *
     * @param prediction what follows the wait
     * @return milliseconds, at least 0
     */
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
     * Returns whether a prompt may be read at all now: within the target, or, where the request is
     * late anyway, without holding up those that are not.
     *
     * @param prediction what follows the wait
     * @return whether it may
     */
    public boolean allowsPrefill(Prediction prediction) {
        double elapsed = late() ? 0 : elapsedMillis;
        return elapsed + prediction.millis() <= targetMillis;
    }

    /**
     * Returns whether it is known already that the wait will be too long.
     *
     * @param predictedMillis how long it is predicted to be
     * @param prediction what follows the wait
     * @return whether the request is to be refused at once
     */
    public boolean isExceededBy(double predictedMillis, Prediction prediction) {
        return predictedMillis > waitMillis(prediction);
    }

    /**
     * Returns whether the request is late whatever is done.
     *
     * @return whether it is
     */
    private boolean late() {
        return tier != QueueTier.IN_TIME;
    }

    /**
     * What follows once memory was found. Immutable and thread safe.
     *
     * @param prefillMillis until the prompt is read, what waits before it included
     * @param firstEventMillis from then to the first event
     */
    public record Prediction(double prefillMillis, double firstEventMillis) {

        /**
         * Returns the sum.
         *
         * @return milliseconds
         */
        double millis() {
            return prefillMillis + firstEventMillis;
        }
    }
}
