package org.troutpier.daemon.notice;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** Parses values of HTTP headers. Stateless and thread safe. */
public final class HeaderValues {

    /** A non-negative decimal number of bounded length. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    private static final String SEPARATOR = ",";

    private HeaderValues() {}

    /** Splits list-valued headers into their stripped elements. */
    static List<String> parts(List<String> values) {
        return values.stream()
                .flatMap(value -> Arrays.stream(value.split(SEPARATOR, -1)))
                .map(String::strip)
                .toList();
    }

    /** Parses a finite, non-negative decimal number; empty if the value is invalid. */
    static OptionalDouble decimal(String part) {
        return DECIMAL.matcher(part).matches()
                ? OptionalDouble.of(Double.parseDouble(part))
                : OptionalDouble.empty();
    }

    /**
     * Parses an HTTP date.
     *
     * @return the time; empty if the value is not a valid date
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
