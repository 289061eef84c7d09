package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a plain service, unique within its partner. Immutable and safe to share between threads.
 *
 * @param value the identifier's text, checked by {@link Identifiers#check(String, String)}
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceName {
        Identifiers.check("service", value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
