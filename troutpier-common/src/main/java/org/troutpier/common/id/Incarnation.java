package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Identifier of one run of a router process: the instance and a random part, so that a restarted
 * instance is never mistaken for its predecessor. Immutable and safe to share.
 *
 * @param value {@code instance~random}
 */
public record Incarnation(@JsonValue String value) {

    /** Separates the instance from the random part; no identifier contains it. */
    private static final char SEPARATOR = '~';

    /** Number of random bytes that distinguish two runs. */
    private static final int RANDOM_BYTES = 6;

    /**
     * Checks the format.
     *
     * @param value {@code instance~random}
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Incarnation {
        if (value == null || value.indexOf(SEPARATOR) < 1) {
            throw new IllegalArgumentException("not an incarnation: " + value);
        }
    }

    /** Creates a new incarnation with a random part. */
    public static Incarnation create(InstanceId instance) {
        byte[] random = new byte[RANDOM_BYTES];
        new SecureRandom().nextBytes(random);
        return new Incarnation(instance.value() + SEPARATOR + HexFormat.of().formatHex(random));
    }

    /** Returns the instance of this incarnation. */
    public InstanceId instance() {
        return new InstanceId(value.substring(0, value.indexOf(SEPARATOR)));
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that && value.equals(that.value);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
