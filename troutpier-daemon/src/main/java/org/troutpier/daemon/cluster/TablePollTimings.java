package org.troutpier.daemon.cluster;

import java.util.concurrent.ThreadLocalRandom;
import org.troutpier.daemon.rows.TableFollower.PollTiming;

/**
 * How tables are followed that one router of each hall reads for the others, by the time in which a
 * change must be acted on. Not to be instantiated; stateless and thread safe.
 */
public final class TablePollTimings {

    /**
     * Which part of the time in which a configuration must be in force one call waits for a change:
     * a call that hangs is given up within it.
     */
    private static final double CONFIGURATION_WAIT_PART = 0.35;

    /**
     * Which part of the time in which a configuration must be in force passes after a page that
     * another router shared before this one reads itself: a router that shares no more is noticed
     * in time.
     */
    private static final double CONFIGURATION_SHARED_PART = 0.55;

    /**
     * Which part of the time after which a leaving upstream must get no work passes between two
     * reads. Each upstream writes its row every heartbeat, so a call that waited for a change would
     * return at once.
     */
    private static final double DIRECTORY_PAUSE_PART = 0.35;

    /** The same for the time after which a leaving upstream must get no work. */
    private static final double DIRECTORY_SHARED_PART = 0.525;

    /**
     * How long a read of the upstreams is waited for before the next is made beside it,
     * milliseconds. A call into a silent connection ends after a second; waited for, it let the
     * store's return be noticed 1.1 to 1.4 s late, which together with the time that a missing
     * upstream is believed is more than the users allow.
     */
    private static final long DIRECTORY_RETRY_MILLIS = 400;

    /**
     * The same for the configuration, milliseconds: other routers hand it on, so fewer calls do.
     * With 400 in place of this and of the member table's pace, a day with two losses of the store
     * at over half of the routers took 1055 calls, against 864 without calls beside others.
     */
    private static final long CONFIGURATION_RETRY_MILLIS = 700;

    /**
     * Which part of the time in which each router must know of a request that is no longer run one
     * call waits for a change. Routers tell each other at once; the table is for those that were
     * cut off or not there, so each hall's reader makes two calls in three seconds and no more.
     */
    private static final double QUARANTINE_WAIT_PART = 0.5;

    /**
     * The same for the pause between two calls: in the second in which upstreams end, several
     * routers write, and each row would answer a call.
     */
    private static final double QUARANTINE_PAUSE_PART = 0.1;

    /** The same for the time after a page that another router shared. */
    private static final double QUARANTINE_SHARED_PART = 0.7;

    /** The same for the time after which the next call is made beside one that hangs. */
    private static final double QUARANTINE_RETRY_PART = 0.2;

    /**
     * Within which time routers write rows again that a copy of the store lacks, milliseconds: they
     * know what the rows held meanwhile.
     */
    private static final long RESTORE_MILLIS = 3000;

    /** Not to be instantiated. */
    private TablePollTimings() {}

    /**
     * Draws when rows are written again that a copy of the store lacks.
     *
     * @return milliseconds from now
     */
    static long restoreMillis() {
        return ThreadLocalRandom.current().nextLong(RESTORE_MILLIS);
    }

    /**
     * Returns how the operator's table is followed.
     *
     * @param inForceMillis in which time a configuration must be in force, milliseconds
     * @return the pace
     */
    public static PollTiming configuration(int inForceMillis) {
        return new PollTiming(
                (int) (inForceMillis * CONFIGURATION_WAIT_PART),
                0,
                (long) (inForceMillis * CONFIGURATION_SHARED_PART),
                CONFIGURATION_RETRY_MILLIS);
    }

    /**
     * Returns how the table of requests is followed that are no longer run.
     *
     * @param knownMillis in which time each router must know of one, milliseconds
     * @return the pace
     */
    public static PollTiming quarantine(int knownMillis) {
        return new PollTiming(
                (int) (knownMillis * QUARANTINE_WAIT_PART),
                (long) (knownMillis * QUARANTINE_PAUSE_PART),
                (long) (knownMillis * QUARANTINE_SHARED_PART),
                (long) (knownMillis * QUARANTINE_RETRY_PART));
    }

    /**
     * Returns how the table of upstreams is followed.
     *
     * @param drainMillis after which time a leaving upstream must get no work, milliseconds
     * @return the pace
     */
    public static PollTiming upstreams(int drainMillis) {
        return new PollTiming(
                1,
                (long) (drainMillis * DIRECTORY_PAUSE_PART),
                (long) (drainMillis * DIRECTORY_SHARED_PART),
                DIRECTORY_RETRY_MILLIS);
    }
}
