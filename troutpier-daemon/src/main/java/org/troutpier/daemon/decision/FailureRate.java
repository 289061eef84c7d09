package org.troutpier.daemon.decision;

/**
 * Whether an upstream fails its calls, by what all routers saw of it lately. Immutable; a pure
 * decision.
 *
 * <p>It answers fleets in which each router sends an upstream a call in some seconds. Judged by
 * each alone, an engine that fails all runs at once, and so looks the least used, took a third of
 * all requests for as long as 60 routers needed to see it fail four times each.
 *
 * @param failed calls that failed lately
 * @param succeeded calls that went well in the same time
 */
public record FailureRate(int failed, int succeeded) {

    /** How many failures pass an upstream over at least; fewer happen by chance. */
    private static final int LEAST_FAILURES = 3;

    /**
     * Which part of the calls fails at an upstream that is passed over: one that fails fewer serves
     * more than it loses, and the others may have no room for what it serves.
     */
    private static final double FAILING_PART = 0.6;

    /**
     * Returns whether the upstream is to be passed over.
     *
     * @return whether most of its calls fail
     */
    public boolean failing() {
        return failed >= LEAST_FAILURES && failed >= FAILING_PART * (failed + succeeded);
    }
}
