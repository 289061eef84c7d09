package org.troutpier.daemon.notice;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** Reads values of HTTP headers. Stateless and thread safe. */
public final class HeaderValues {

    /** A decimal number that is not negative, of a bounded length. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /** What separates several values in one header. */
    private static final String SEPARATOR = ",";

    /** Not to be instantiated. */
    private HeaderValues() {}

    /**
     * Returns the parts of values that are lists.
     *
     * @param values the values, as they came
     * @return their parts, without space around them
     */
    static List<String> parts(List<String> values) {
        return values.stream()
                .flatMap(value -> Arrays.stream(value.split(SEPARATOR, -1)))
                .map(String::strip)
                .toList();
    }

    /**
     * Reads a decimal number.
     *
     * @param part a part of a value
     * @return the number, finite and not negative; empty where the part is none
     */
    static OptionalDouble decimal(String part) {
        return DECIMAL.matcher(part).matches()
                ? OptionalDouble.of(Double.parseDouble(part))
                : OptionalDouble.empty();
    }

    /**
     * Reads a date.
     *
     * @param value the value
     * @return the time; empty where the value is no date
     */
    public static Optional<Instant> date(String value) {
        try {
            return Optional.of(
                    DateTimeFormatter.RFC_1123_DATE_TIME.parse(value.strip(), Instant::from));
        } catch (DateTimeException exception) {
            return Optional.empty();
        }
    }
}
