package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * One router's usage of one upstream, and the recent outcomes of its calls. Immutable and thread
 * safe.
 *
 * @param calls calls in progress
 * @param tokens the tokens of these calls; 0 for plain calls
 * @param failed recent calls that failed
 * @param succeeded recent calls that succeeded
 * @param restCorrection by how much these calls' expected output exceeds that of usual ones,
 *     tokens; see {@link org.troutpier.daemon.growth.ActiveRuns#restCorrection}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamUsage(
        int calls, long tokens, int failed, int succeeded, long restCorrection) {

    /** No usage. */
    public static final UpstreamUsage NONE = new UpstreamUsage(0, 0, 0, 0, 0);

    /**
     * Returns the usage of an upstream none of whose calls has ended recently.
     *
     * @param calls calls in progress
     * @param tokens the tokens of these calls
     */
    public static UpstreamUsage of(int calls, long tokens) {
        return new UpstreamUsage(calls, tokens, 0, 0, 0);
    }

    /** Returns the sum of this usage and another. */
    public UpstreamUsage plus(UpstreamUsage other) {
        return new UpstreamUsage(
                calls + other.calls,
                tokens + other.tokens,
                failed + other.failed,
                succeeded + other.succeeded,
                restCorrection + other.restCorrection);
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamUsage that
                && calls == that.calls
                && tokens == that.tokens
                && failed == that.failed
                && succeeded == that.succeeded
                && restCorrection == that.restCorrection;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        int hash = 31 * (31 * (31 * calls + Long.hashCode(tokens)) + failed) + succeeded;
        return 31 * hash + Long.hashCode(restCorrection);
    }
}
