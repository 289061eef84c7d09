package org.troutpier.daemon.limit;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The rate that an upstream announced last, as routers report it to each other. It carries an age
 * instead of a timestamp, since the clocks of routers are not compared. Immutable and thread safe.
 *
 * @param perSecond the requests per second over all routers; {@link #UNLIMITED} if the upstream
 *     does not announce a rate any more
 * @param ageMillis the time since the announcement, milliseconds; {@link Long#MAX_VALUE} if there
 *     was none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LastAnnouncedRate(double perSecond, long ageMillis) {

    /** The rate of an upstream that announces none. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /** The value for an upstream that never announced a rate. */
    public static final LastAnnouncedRate NEVER = new LastAnnouncedRate(UNLIMITED, Long.MAX_VALUE);

    /** Maximum age difference for which the order of announcements to two routers is unknown. */
    private static final long UNORDERED_MILLIS = 100;

    /**
     * Returns the more recent of two announcements, or the lower rate if their order is unknown.
     */
    public LastAnnouncedRate mostRecent(LastAnnouncedRate other) {
        long difference = ageMillis - other.ageMillis;
        if (Math.abs(difference) <= UNORDERED_MILLIS) {
            return other.perSecond < perSecond ? other : this;
        }
        return difference > 0 ? other : this;
    }

    /**
     * Returns this announcement with a greater age.
     *
     * @param millis the time that has passed, milliseconds
     */
    public LastAnnouncedRate aged(long millis) {
        return ageMillis == Long.MAX_VALUE
                ? this
                : new LastAnnouncedRate(perSecond, ageMillis + millis);
    }
}
