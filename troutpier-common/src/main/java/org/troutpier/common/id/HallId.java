package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a hall: a data centre or a zone of one. Immutable and safe to share between
 * threads.
 *
 * @param value the identifier's text, checked by {@link Identifiers#check(String, String)}
 */
public record HallId(@JsonValue String value) implements Comparable<HallId> {

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HallId {
        Identifiers.check("hall", value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(HallId other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof HallId that && value.equals(that.value);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
