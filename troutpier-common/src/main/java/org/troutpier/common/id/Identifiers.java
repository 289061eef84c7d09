package org.troutpier.common.id;

import java.util.regex.Pattern;

/** Checks the text of identifiers. Stateless and thread safe. */
final class Identifiers {

    /** What an identifier may look like. */
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,79}");

    /** Not to be instantiated. */
    private Identifiers() {}

    /**
     * Checks an identifier's text.
     *
     * @param kind what the identifier names, for the message
     * @param value the text to check
     */
    static void check(String kind, String value) {
        if (value == null || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    kind + " id must match " + ALLOWED.pattern() + " but is: " + value);
        }
    }
}
