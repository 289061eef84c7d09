package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one router has under way at one upstream, and how its calls there ended lately. Immutable
 * and thread safe.
 *
 * @param calls calls under way
 * @param tokens the tokens of these calls; 0 for plain calls
 * @param failed calls that failed lately
 * @param succeeded calls that went well lately
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamUsage(int calls, long tokens, int failed, int succeeded) {

    /** Nothing under way. */
    public static final UpstreamUsage NONE = new UpstreamUsage(0, 0, 0, 0);

    /**
     * Creates the use of an upstream of whose calls none has ended lately.
     *
     * @param calls calls under way
     * @param tokens the tokens of these calls
     * @return the use
     */
    public static UpstreamUsage of(int calls, long tokens) {
        return new UpstreamUsage(calls, tokens, 0, 0);
    }

    /**
     * Returns the use of two routers together.
     *
     * @param other the other's
     * @return the sum
     */
    public UpstreamUsage plus(UpstreamUsage other) {
        return new UpstreamUsage(
                calls + other.calls,
                tokens + other.tokens,
                failed + other.failed,
                succeeded + other.succeeded);
    }
}
