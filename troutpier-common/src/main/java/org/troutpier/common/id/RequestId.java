package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a request, shared by all of its attempts; assigned by the router that accepted it.
 * Immutable and safe to share between threads.
 *
 * @param value the identifier's text, checked by {@link Identifiers#check(String, String)}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

    /** Number of bits that a double represents exactly. */
    private static final int FRACTION_BITS = 53;

    /** Odd multiplier that spreads similar hashes over all bits. */
    private static final long SPREAD = 0x9e3779b97f4a7c15L;

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        Identifiers.check("request", value);
    }

    /** Returns a number that depends only on the text, at least 0 and less than 1. */
    public double fraction() {
        long bits = value.hashCode() * SPREAD >>> Long.SIZE - FRACTION_BITS;
        return Math.scalb((double) bits, -FRACTION_BITS);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
