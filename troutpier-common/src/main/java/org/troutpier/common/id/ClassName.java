package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a request class, unique within its partner. Immutable and safe to share between threads.
 *
 * @param value the identifier's text, checked by {@link Identifiers#check(String, String)}
 */
public record ClassName(@JsonValue String value) implements Comparable<ClassName> {

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ClassName {
        Identifiers.check("class", value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(ClassName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
