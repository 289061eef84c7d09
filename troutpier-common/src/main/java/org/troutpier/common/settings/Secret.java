package org.troutpier.common.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A text of the settings that is not to be shown, as in the line that a process logs at its start.
 * Immutable and thread safe.
 *
 * @param value the text
 */
public record Secret(@JsonValue String value) {

    /** The shortest secret that is taken, characters. */
    private static final int SHORTEST = 16;

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Secret {
        Check.present("value", value);
    }

    /**
     * Checks that the secret is long enough.
     *
     * @param field the field that it stands in, for the message
     */
    public void requireMinimumLength(String field) {
        Check.that(
                field,
                value.length() >= SHORTEST,
                "must have at least " + SHORTEST + " characters");
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "secret";
    }
}
