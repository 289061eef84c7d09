package org.troutpier.daemon.plain;

import java.util.random.RandomGenerator;

/**
 * Draws when refused callers are to return. Answers the echo of a burst: callers that were refused
 * together would return together. Immutable; confined to the traffic loop.
 *
 * @param random the source of the delays
 */
record ReturnDelay(RandomGenerator random) {

    /**
     * Shortest delay as a part of the longest. A burst outlasts the time that callers may wait, so
     * an early return is likely to be refused again.
     */
    private static final double MIN_PART = 0.5;

    /** Part of the remaining time that callers wait at most. */
    private static final double MAX_PART_OF_REMAINING = 0.32;

    /**
     * Draws a delay.
     *
     * @param waitMillis the predicted time until there is room, milliseconds
     * @param remainingMillis the time until the caller's deadline, milliseconds
     * @return the delay, milliseconds, at least 1
     */
    long millis(double waitMillis, long remainingMillis) {
        double longest = remainingMillis * MAX_PART_OF_REMAINING;
        double shortest = Math.min(longest, Math.max(waitMillis, longest * MIN_PART));
        return Math.max(1, (long) (shortest + random.nextDouble() * (longest - shortest)));
    }
}
