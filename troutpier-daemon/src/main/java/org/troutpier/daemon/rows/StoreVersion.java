package org.troutpier.daemon.rows;

import org.troutpier.common.settings.Check;

/**
 * Versions of a store that may come back from a copy: the era, which rises each time, and the
 * number that the store gave, which goes back then. Both are kept in one number, so that versions
 * compare as the states that they name follow each other. Not to be instantiated; stateless and
 * thread safe.
 */
public final class StoreVersion {

    /** The version of a row that is not there, and of a table that was never read. */
    public static final long NONE = 0;

    /** How many bits the store's number takes. */
    private static final int NUMBER_BITS = 40;

    /** The largest number that a store may give. */
    private static final long MOST_NUMBER = (1L << NUMBER_BITS) - 1;

    /** The largest era: versions stay whole numbers wherever they are read as decimals. */
    private static final long MOST_ERA = (1L << 13) - 1;

    /** Not to be instantiated. */
    private StoreVersion() {}

    /**
     * Makes a version.
     *
     * @param era the store's era; 0 for a store that names none
     * @param number the number that the store gave; 0 for a store without any change
     * @return the version, greater than all of earlier eras
     */
    public static long of(long era, long number) {
        Check.range("store era", era, 0, MOST_ERA);
        Check.range("store version", number, 0, MOST_NUMBER);
        return era << NUMBER_BITS | number;
    }

    /**
     * Makes the version of a row.
     *
     * @param era the store's era; 0 for a store that names none
     * @param number the number that the store gave; 0 for a row that is not there
     * @return the version; {@link #NONE} for a row that is not there
     */
    public static long ofRow(long era, long number) {
        return number == NONE ? NONE : of(era, number);
    }

    /**
     * Returns a version's era.
     *
     * @param version the version
     * @return its era
     */
    public static long era(long version) {
        return version >> NUMBER_BITS;
    }

    /**
     * Returns a version's number.
     *
     * @param version the version
     * @return the number that the store gave
     */
    public static long number(long version) {
        return version & MOST_NUMBER;
    }

    /**
     * Returns whether a version, as a condition or as the place where a feed goes on, means the
     * same in an era.
     *
     * @param version the version
     * @param era the era in which the store used it
     * @return whether it is of that era; that a row is not there means the same in all
     */
    public static boolean isValidIn(long version, long era) {
        return version == NONE || era(version) == era;
    }
}
