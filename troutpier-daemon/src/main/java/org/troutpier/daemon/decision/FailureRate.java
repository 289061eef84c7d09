package org.troutpier.daemon.decision;

/**
 * Decides whether an upstream is to be ejected because of its recent failures, which are counted
 * over all routers. Immutable.
 *
 * <p>In a large fleet each router calls an upstream only once every few seconds, so failures are
 * not judged by each router alone. An engine that fails all runs at once appears least loaded: in a
 * fleet of 60 routers that each have to see four failures, such an engine draws a third of all
 * requests until they have.
 *
 * @param failed recent calls that failed
 * @param succeeded calls that succeeded in the same period
 */
public record FailureRate(int failed, int succeeded) {

    /** Minimum number of failures for an ejection; fewer occur by chance. */
    private static final int MIN_FAILURES = 3;

    /**
     * Fraction of failed calls from which an upstream is ejected. An upstream that fails a smaller
     * fraction serves more calls than it loses, and the others may have no capacity for these.
     */
    private static final double MIN_FAILED_FRACTION = 0.6;

    /** Returns whether the upstream is to be ejected. */
    public boolean failing() {
        return failed >= MIN_FAILURES && failed >= MIN_FAILED_FRACTION * (failed + succeeded);
    }
}
