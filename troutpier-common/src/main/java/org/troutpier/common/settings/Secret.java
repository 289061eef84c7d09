package org.troutpier.common.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A text of the settings that must not be shown, for example in the settings that a process logs at
 * start-up. Immutable and thread safe.
 *
 * @param value the text
 */
public record Secret(@JsonValue String value) {

    /** Minimum length of a secret, characters. */
    private static final int MIN_LENGTH = 16;

    /** Checks the text. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Secret {
        Check.present("value", value);
    }

    /** Checks that the secret is long enough. */
    public void requireMinimumLength(String field) {
        Check.that(
                field,
                value.length() >= MIN_LENGTH,
                "must have at least " + MIN_LENGTH + " characters");
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "secret";
    }
}
