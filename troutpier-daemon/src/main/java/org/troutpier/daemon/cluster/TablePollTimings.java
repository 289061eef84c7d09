package org.troutpier.daemon.cluster;

import java.util.concurrent.ThreadLocalRandom;
import org.troutpier.daemon.rows.TableFollower.PollTiming;

/**
 * Poll timings of tables that the table reader of each hall reads for the others, derived from the
 * time in which a change must take effect. Stateless and thread safe.
 */
public final class TablePollTimings {

    /**
     * Fraction of a configuration's adoption time for which one call waits for a change: a call
     * that hangs is abandoned within that time.
     */
    private static final double CONFIGURATION_WAIT_FRACTION = 0.35;

    /**
     * Fraction of a configuration's adoption time for which a page shared by another router is
     * valid: a router that stops sharing is noticed in time.
     */
    private static final double CONFIGURATION_SHARED_FRACTION = 0.55;

    /**
     * Fraction of the drain time between two reads of the upstreams. Each upstream writes its row
     * at every heartbeat, so a call that waits for a change would return immediately.
     */
    private static final double DIRECTORY_PAUSE_FRACTION = 0.35;

    /** Fraction of the drain time for which a page shared by another router is valid. */
    private static final double DIRECTORY_SHARED_FRACTION = 0.525;

    /**
     * Time after which an unanswered read of the upstreams is supplemented by another call,
     * milliseconds. A call on a dead connection fails after a second; if it is waited for, the
     * store's return is noticed 1.1 to 1.4 s late, and together with the time for which a missing
     * upstream is kept that exceeds the users' limit.
     */
    private static final long DIRECTORY_RETRY_MILLIS = 400;

    /**
     * The same time for the configuration, milliseconds. Routers also send it to each other, so
     * fewer calls suffice: with 400 here and in the member table's timing, a simulation with two
     * losses of the store at over half of the routers took 1055 calls, against 864 without such
     * additional calls.
     */
    private static final long CONFIGURATION_RETRY_MILLIS = 700;

    /**
     * Fraction of the time in which each router must know a quarantined request for which one call
     * waits for a change. Routers notify each other immediately and the table is for those that
     * were disconnected or not running, so two calls in three seconds by each hall's table reader
     * suffice.
     */
    private static final double QUARANTINE_WAIT_FRACTION = 0.5;

    /**
     * Fraction of the same time between two calls: when upstreams crash, several routers write
     * within a second, and each row would answer a call.
     */
    private static final double QUARANTINE_PAUSE_FRACTION = 0.1;

    /** Fraction of the same time for which a page shared by another router is valid. */
    private static final double QUARANTINE_SHARED_FRACTION = 0.7;

    /** Fraction of the same time after which a call that hangs is supplemented by another. */
    private static final double QUARANTINE_RETRY_FRACTION = 0.2;

    /**
     * Time over which routers spread writing rows again that a restored store lacks, milliseconds.
     * They know the content of the rows in the meantime.
     */
    private static final long RESTORE_SPREAD_MILLIS = 3000;

    private TablePollTimings() {}

    /**
     * Returns a random delay before rows are written again that a restored store lacks.
     *
     * @return milliseconds
     */
    static long randomRestoreDelayMillis() {
        return ThreadLocalRandom.current().nextLong(RESTORE_SPREAD_MILLIS);
    }

    /**
     * Returns the timing for the configuration table.
     *
     * @param adoptionMillis time in which a configuration must be in force, milliseconds
     */
    public static PollTiming configuration(int adoptionMillis) {
        return new PollTiming(
                (int) (adoptionMillis * CONFIGURATION_WAIT_FRACTION),
                0,
                (long) (adoptionMillis * CONFIGURATION_SHARED_FRACTION),
                CONFIGURATION_RETRY_MILLIS);
    }

    /**
     * Returns the timing for the quarantine table.
     *
     * @param knownMillis time in which each router must know a quarantined request, milliseconds
     */
    public static PollTiming quarantine(int knownMillis) {
        return new PollTiming(
                (int) (knownMillis * QUARANTINE_WAIT_FRACTION),
                (long) (knownMillis * QUARANTINE_PAUSE_FRACTION),
                (long) (knownMillis * QUARANTINE_SHARED_FRACTION),
                (long) (knownMillis * QUARANTINE_RETRY_FRACTION));
    }

    /**
     * Returns the timing for the table of upstreams.
     *
     * @param drainMillis time after which a leaving upstream must get no work, milliseconds
     */
    public static PollTiming upstreams(int drainMillis) {
        return new PollTiming(
                1,
                (long) (drainMillis * DIRECTORY_PAUSE_FRACTION),
                (long) (drainMillis * DIRECTORY_SHARED_FRACTION),
                DIRECTORY_RETRY_MILLIS);
    }
}
