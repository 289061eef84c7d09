package org.troutpier.daemon.notice;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What one answer of an upstream announces of the requests a second that it takes from all routers
 * together. Immutable and thread safe.
 *
 * @param state whether the answer names a rate
 * @param perSecond the rate, requests a second; 0 where none is named
 */
public record AnnouncedRate(NoticeState state, double perSecond) {

    /** An answer that names no rate. */
    public static final AnnouncedRate NONE = new AnnouncedRate(NoticeState.NONE, 0);

    /** An answer whose rate cannot be read. */
    public static final AnnouncedRate UNREADABLE = new AnnouncedRate(NoticeState.UNREADABLE, 0);

    /** Checks the rate. */
    public AnnouncedRate {
        if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("rate is not a finite number from 0: " + perSecond);
        }
    }

    /**
     * Returns an answer that names a rate.
     *
     * @param perSecond requests a second, finite and not negative
     * @return the announcement
     */
    public static AnnouncedRate of(double perSecond) {
        return new AnnouncedRate(NoticeState.ANNOUNCED, perSecond);
    }

    /**
     * Reads the values of an answer's header.
     *
     * @param values the values, as they came
     * @return the lowest rate that can be read
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
