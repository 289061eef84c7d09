package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a partner: a customer with its own operators, callers and share. Immutable and safe
 * to share between threads.
 *
 * @param value the identifier's text, checked by {@link Identifiers#check(String, String)}
 */
public record PartnerId(@JsonValue String value) implements Comparable<PartnerId> {

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public PartnerId {
        Identifiers.check("partner", value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(PartnerId other) {
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
        return other instanceof PartnerId that && value.equals(that.value);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
