package org.troutpier.daemon.notice;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The rate of requests that an upstream accepts from all routers together, as announced by one of
 * its responses. Immutable and thread safe.
 *
 * @param state whether the response announces a rate
 * @param perSecond the requests per second; 0 if none are announced
 */
public record AnnouncedRate(NoticeState state, double perSecond) {

    /** No rate. */
    public static final AnnouncedRate NONE = new AnnouncedRate(NoticeState.NONE, 0);

    /** A rate with an invalid value. */
    public static final AnnouncedRate UNREADABLE = new AnnouncedRate(NoticeState.UNREADABLE, 0);

    /** Validates the rate. */
    public AnnouncedRate {
        if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException(
                    "rate must be finite and not negative: " + perSecond);
        }
    }

    /**
     * Creates an announced rate.
     *
     * @param perSecond the requests per second, finite and not negative
     */
    public static AnnouncedRate of(double perSecond) {
        return new AnnouncedRate(NoticeState.ANNOUNCED, perSecond);
    }

    /**
     * Parses the values of a rate header.
     *
     * @param values the values of the header as received
     * @return the lowest valid rate; {@link #UNREADABLE} if no value is valid, {@link #NONE} if
     *     there is no value
     */
    public static AnnouncedRate parse(List<String> values) {
        AnnouncedRate lowest = values.isEmpty() ? NONE : UNREADABLE;
        for (String value : HeaderValues.parts(values)) {
            OptionalDouble rate = HeaderValues.decimal(value);
            boolean lower =
                    lowest.state != NoticeState.ANNOUNCED || rate.orElse(0) < lowest.perSecond;
            lowest = rate.isPresent() && lower ? of(rate.getAsDouble()) : lowest;
        }
        return lowest;
    }
}
