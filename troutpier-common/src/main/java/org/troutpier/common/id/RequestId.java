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

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        Identifiers.check("request", value);
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
