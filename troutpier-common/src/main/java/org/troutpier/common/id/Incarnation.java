package org.troutpier.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Names one start of a router process: its instance and a random part drawn at start, so that a
 * restarted instance is never taken for its predecessor. Immutable and safe to share.
 *
 * @param value {@code instance~random}
 */
public record Incarnation(@JsonValue String value) {

    /** Parts the instance from the random part. */
    private static final char SEPARATOR = '~';

    /** How many random bytes tell two starts apart. */
    private static final int RANDOM_BYTES = 6;

    /**
     * Checks the shape.
     *
     * @param value {@code instance~random}
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Incarnation {
        if (value == null || value.indexOf(SEPARATOR) < 1) {
            throw new IllegalArgumentException("not an incarnation: " + value);
        }
    }

    /**
     * Draws a new incarnation.
     *
     * @param instance the instance that starts
     * @return an incarnation that no other process has
     */
    public static Incarnation create(InstanceId instance) {
        byte[] random = new byte[RANDOM_BYTES];
        new SecureRandom().nextBytes(random);
        return new Incarnation(instance.value() + SEPARATOR + HexFormat.of().formatHex(random));
    }

    /**
     * Returns the instance whose start this is.
     *
     * @return the instance
     */
    public InstanceId instance() {
        return new InstanceId(value.substring(0, value.indexOf(SEPARATOR)));
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
