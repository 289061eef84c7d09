package org.troutpier.daemon.cluster;

import org.troutpier.common.settings.Check;

/**
 * A router's capacity to work for the others; slow instances and narrow links are avoided.
 * Immutable and thread safe.
 *
 * @param points hundredths of a core or megabits a second of its link, whichever is less
 */
public record RouterCapacity(int points) implements Comparable<RouterCapacity> {

    private static final int POINTS_PER_CORE = 100;

    /** Validates the field. */
    public RouterCapacity {
        Check.range("points", points, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns the capacity of an instance.
     *
     * @param cores the cores that it may use
     * @param linkMegabits the bandwidth of its link, Mbit/s
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
