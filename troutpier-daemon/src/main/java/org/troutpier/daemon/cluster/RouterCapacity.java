package org.troutpier.daemon.cluster;

import org.troutpier.common.settings.Check;

/**
 * How much a router can do for the others, so that slow or narrow instances are spared. Immutable
 * and thread safe.
 *
 * @param points hundredths of a core, or megabits a second of its link, whichever is less
 */
public record RouterCapacity(int points) implements Comparable<RouterCapacity> {

    /** How many points a core is worth. */
    private static final int POINTS_PER_CORE = 100;

    /** Checks the field. */
    public RouterCapacity {
        Check.range("points", points, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns the capacity of an instance.
     *
     * @param cores how many cores it may use
     * @param linkMegabits how much its link carries, Mbit/s
     * @return the capacity
     */
    public static RouterCapacity of(double cores, double linkMegabits) {
        return new RouterCapacity((int) Math.min(cores * POINTS_PER_CORE, linkMegabits));
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(RouterCapacity other) {
        return Integer.compare(points, other.points);
    }
}
