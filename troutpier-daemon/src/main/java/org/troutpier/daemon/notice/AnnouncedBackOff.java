package org.troutpier.daemon.notice;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;

/**
 * For how long an upstream that turned a call away wants no other from this router, by the {@code
 * Retry-After} of its answer (RFC 9110, with fractions of seconds). Immutable and thread safe.
 *
 * @param state whether the answer asks for it
 * @param millis for how long, milliseconds; 0 where it does not ask
 */
public record AnnouncedBackOff(NoticeState state, long millis) {

    /** An answer that asks for none. */
    public static final AnnouncedBackOff NONE = new AnnouncedBackOff(NoticeState.NONE, 0);

    /** An answer whose request cannot be read. */
    public static final AnnouncedBackOff UNREADABLE =
            new AnnouncedBackOff(NoticeState.UNREADABLE, 0);

    /** How many milliseconds a second has. */
    private static final int MILLIS = 1000;

    /** Checks the time. */
    public AnnouncedBackOff {
        if (millis < 0) {
            throw new IllegalArgumentException("back-off is negative: " + millis);
        }
    }

    /**
     * Returns an answer that asks for a time.
     *
     * @param millis for how long, milliseconds; 0 asks for none
     * @return the announcement
     */
    public static AnnouncedBackOff of(long millis) {
        return millis == 0 ? NONE : new AnnouncedBackOff(NoticeState.ANNOUNCED, millis);
    }

    /**
     * Reads the values of an answer's header.
     *
     * @param values the values, as they came: seconds or dates
     * @param now when the answer was sent, by the clock that its dates are of
     * @return the longest time that can be read
     */
    public static AnnouncedBackOff parse(List<String> values, Instant now) {
        OptionalLong longest = OptionalLong.empty();
        for (String value : values) {
            OptionalLong millis = seconds(value);
            if (millis.isEmpty()) {
                millis = date(value, now);
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
     * Reads a date of HTTP.
     *
     * @param value the value
     * @param now when the answer was sent
     * @return how long until then, milliseconds; 0 for one that is past; empty where it is no date
     */
    private static OptionalLong date(String value, Instant now) {
        return HeaderValues.date(value).stream()
                .mapToLong(then -> Math.max(0, Duration.between(now, then).toMillis()))
                .findFirst();
    }

    /**
     * Reads seconds.
     *
     * @param value the value, which may be a list
     * @return the longest of them, milliseconds; empty where none can be read
     */
    private static OptionalLong seconds(String value) {
        return HeaderValues.parts(List.of(value)).stream()
                .map(HeaderValues::decimal)
                .filter(decimal -> decimal.isPresent())
                .mapToLong(decimal -> Math.round(decimal.getAsDouble() * MILLIS))
                .max();
    }
}
