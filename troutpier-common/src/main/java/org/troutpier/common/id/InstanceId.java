package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a router instance as registered with the platform; unchanged by a restart.
 * Immutable and safe to share between threads.
 *
 * @param value the identifier's text, checked by {@link Identifiers#check(String, String)}
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public InstanceId {
        Identifiers.check("instance", value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(InstanceId other) {
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
        return other instanceof InstanceId that && value.equals(that.value);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
