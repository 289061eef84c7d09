package org.troutpier.daemon.cluster;

import java.util.Arrays;

/**
 * Measures how fast prefill engines read prompts, by readings that are thought to have had an
 * engine alone. Confined to the traffic loop. Invariant: a quarter of the readings may be faster
 * than the pace and most may be slower: a prompt that an engine still keeps is read faster, and one
 * that another router's prompt held up, or that a router which just started timed, is slower.
 */
final class PaceMeter {

    /** How many readings are kept: some seconds' worth of a router. */
    private static final int READINGS = 32;

    /** Which part of the readings is slower than the pace. */
    private static final double SLOWER_PART = 0.75;

    /** The latest readings, prompt tokens a millisecond. */
    private final double[] mPaces = new double[READINGS];

    /** How many readings there were. */
    private int mCount;

    /**
     * Takes a reading.
     *
     * @param tokens the prompt's length
     * @param millis how long it took
     */
    void add(long tokens, long millis) {
        mPaces[mCount % READINGS] = tokens / (double) millis;
        mCount++;
    }

    /**
     * Returns the pace.
     *
     * @return prompt tokens a millisecond; 0 before the first reading
     */
    double pace() {
        int kept = Math.min(mCount, READINGS);
        if (kept == 0) {
            return 0;
        }
        double[] sorted = Arrays.copyOf(mPaces, kept);
        Arrays.sort(sorted);
        return sorted[Math.min(kept - 1, (int) (kept * SLOWER_PART))];
    }
}
