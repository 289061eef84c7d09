package org.troutpier.daemon.rows;

import org.troutpier.common.settings.Check;

/**
 * Versions of a store that may be restored from a backup. A version combines the store's era, which
 * increases with each restore, and the number that the store assigned, which a restore may set
 * back. Both are packed into one {@code long}, so that the order of versions is the order of the
 * states. Stateless and thread safe.
 */
public final class StoreVersion {

    /** Version of a row that does not exist, and of a table that has never been read. */
    public static final long NONE = 0;

    private static final int NUMBER_BITS = 40;

    private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

    /**
     * The largest era. Versions stay below 2<sup>53</sup>, so that they remain exact where they are
     * read as floating-point numbers.
     */
    private static final long MAX_ERA = (1L << 13) - 1;

    private StoreVersion() {}

    /**
     * Returns the version of a table, which is greater than all versions of earlier eras.
     *
     * @param era the store's era; 0 if the store does not report one
     * @param number the number that the store assigned; 0 before the first change
     */
    public static long of(long era, long number) {
        Check.range("store era", era, 0, MAX_ERA);
        Check.range("store version", number, 0, MAX_NUMBER);
        return era << NUMBER_BITS | number;
    }

    /**
     * Returns the version of a row.
     *
     * @param era the store's era; 0 if the store does not report one
     * @param number the number that the store assigned; 0 for a row that does not exist
     * @return the version; {@link #NONE} for a row that does not exist
     */
    public static long ofRow(long era, long number) {
        return number == NONE ? NONE : of(era, number);
    }

    /** Returns the era of a version. */
    public static long era(long version) {
        return version >> NUMBER_BITS;
    }

    /** Returns the number that the store assigned. */
    public static long number(long version) {
        return version & MAX_NUMBER;
    }

    /**
     * Returns whether a version is valid in an era, as the condition of a write or as a position in
     * the change feed. {@link #NONE} is valid in every era.
     */
    public static boolean isValidIn(long version, long era) {
        return version == NONE || era(version) == era;
    }
}
