package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The rate that an upstream named last, as routers report it to each other. Immutable and thread
 * safe. Its age takes the place of a time, since routers' clocks are not compared.
 *
 * @param perSecond requests a second over all routers; {@link #UNLIMITED} where the upstream names
 *     a rate no more
 * @param ageMillis how long ago the upstream said so, milliseconds; {@link Long#MAX_VALUE} where it
 *     never did
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LastAnnouncedRate(double perSecond, long ageMillis) {

    /** The rate of an upstream that names none. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /** The rate of an upstream that never named one. */
    public static final LastAnnouncedRate NEVER = new LastAnnouncedRate(UNLIMITED, Long.MAX_VALUE);

    /** Within which time the order of two answers that different routers got is not known. */
    private static final long UNORDERED_MILLIS = 100;

    /**
     * Returns which of two statements holds: the later one, or the lower one where their order is
     * not known.
     *
     * @param other the other
     * @return one of them
     */
    public LastAnnouncedRate mostRecent(LastAnnouncedRate other) {
        long older = ageMillis - other.ageMillis;
        if (Math.abs(older) <= UNORDERED_MILLIS) {
            return other.perSecond < perSecond ? other : this;
        }
        return older > 0 ? other : this;
    }

    /**
     * Returns the statement as it is some time later.
     *
     * @param millis how much later, milliseconds
     * @return a new statement
     */
    public LastAnnouncedRate aged(long millis) {
        return ageMillis == Long.MAX_VALUE
                ? this
                : new LastAnnouncedRate(perSecond, ageMillis + millis);
    }
}
