package org.troutpier.daemon.limit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What one answer of an upstream says of the requests a second that it takes from all routers
 * together. Immutable and thread safe.
 *
 * @param kind whether the answer names a rate
 * @param perSecond the rate, requests a second; 0 where none is named
 */
public record AnnouncedRate(Kind kind, double perSecond) {

    /** An answer that names no rate. */
    public static final AnnouncedRate NONE = new AnnouncedRate(Kind.NONE, 0);

    /** An answer whose rate cannot be read. */
    public static final AnnouncedRate UNREADABLE = new AnnouncedRate(Kind.UNREADABLE, 0);

    /** A decimal number that is not negative, of a bounded length. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /** What separates several values in one header. */
    private static final String SEPARATOR = ",";

    /** Whether an answer names a rate. */
    public enum Kind {
        /** It names none. */
        NONE,
        /** It names one. */
        NAMED,
        /** It names something that is no rate, which changes nothing. */
        UNREADABLE
    }

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
        return new AnnouncedRate(Kind.NAMED, perSecond);
    }

    /**
     * Reads the values of an answer's header.
     *
     * @param values the values, as they came
     * @return the lowest rate that can be read
     */
    public static AnnouncedRate parse(List<String> values) {
        AnnouncedRate lowest = values.isEmpty() ? NONE : UNREADABLE;
        for (String value : values) {
            for (String part : value.split(SEPARATOR, -1)) {
                String text = part.strip();
                if (DECIMAL.matcher(text).matches()) {
                    double rate = Double.parseDouble(text);
                    boolean lower = lowest.kind != Kind.NAMED || rate < lowest.perSecond;
                    lowest = lower ? of(rate) : lowest;
                }
            }
        }
        return lowest;
    }
}
