package org.troutpier.daemon.notice;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;

/**
 * The back-off that an upstream requests from this router when it rejects a call, by the {@code
 * Retry-After} header of its response (RFC 9110, with fractional seconds as an extension).
 * Immutable and thread safe.
 *
 * @param state whether the response requests a back-off
 * @param millis the back-off, milliseconds; 0 if none is requested
 */
public record AnnouncedBackOff(NoticeState state, long millis) {

    /** No back-off. */
    public static final AnnouncedBackOff NONE = new AnnouncedBackOff(NoticeState.NONE, 0);

    /** A back-off with an invalid value. */
    public static final AnnouncedBackOff UNREADABLE =
            new AnnouncedBackOff(NoticeState.UNREADABLE, 0);

    private static final int MILLIS_PER_SECOND = 1000;

    /** Validates the back-off. */
    public AnnouncedBackOff {
        if (millis < 0) {
            throw new IllegalArgumentException("back-off must not be negative: " + millis);
        }
    }

    /**
     * Creates a back-off.
     *
     * @param millis the back-off, milliseconds; 0 for none
     */
    public static AnnouncedBackOff of(long millis) {
        return millis == 0 ? NONE : new AnnouncedBackOff(NoticeState.ANNOUNCED, millis);
    }

    /**
     * Parses the values of a {@code Retry-After} header.
     *
     * @param values the values of the header as received: seconds or HTTP dates
     * @param now the time at which the response was sent, by the clock of the dates
     * @return the longest valid back-off; {@link #UNREADABLE} if no value is valid, {@link #NONE}
     *     if there is no value
     */
    public static AnnouncedBackOff parse(List<String> values, Instant now) {
        OptionalLong longest = OptionalLong.empty();
        for (String value : values) {
            OptionalLong millis = parseSeconds(value);
            if (millis.isEmpty()) {
                millis = parseDate(value, now);
            }
            if (millis.isPresent()) {
                longest = OptionalLong.of(Math.max(longest.orElse(0), millis.getAsLong()));
            }
        }
        if (longest.isPresent()) {
            return of(longest.getAsLong());
        }
        return values.isEmpty() ? NONE : UNREADABLE;
    }

    /**
     * Returns the milliseconds until an HTTP date, 0 if it is past, or empty if the value is not a
     * date.
     */
    private static OptionalLong parseDate(String value, Instant now) {
        return HeaderValues.date(value).stream()
                .mapToLong(date -> Math.max(0, Duration.between(now, date).toMillis()))
                .findFirst();
    }

    /** Returns the longest of a list of seconds in milliseconds, or empty if none is valid. */
    private static OptionalLong parseSeconds(String value) {
        return HeaderValues.parts(List.of(value)).stream()
                .map(HeaderValues::decimal)
                .filter(decimal -> decimal.isPresent())
                .mapToLong(decimal -> Math.round(decimal.getAsDouble() * MILLIS_PER_SECOND))
                .max();
    }
}
