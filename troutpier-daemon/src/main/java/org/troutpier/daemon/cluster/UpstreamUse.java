package org.troutpier.daemon.cluster;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What one router has under way at one upstream. Immutable and thread safe.
 *
 * @param calls calls under way
 * @param tokens the tokens of these calls; 0 for plain calls
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamUse(int calls, long tokens) {

    /** Nothing under way. */
    public static final UpstreamUse NONE = new UpstreamUse(0, 0);

    /**
     * Returns the use of two routers together.
     *
     * @param other the other's
     * @return the sum
     */
    public UpstreamUse plus(UpstreamUse other) {
        return new UpstreamUse(calls + other.calls, tokens + other.tokens);
    }
}
