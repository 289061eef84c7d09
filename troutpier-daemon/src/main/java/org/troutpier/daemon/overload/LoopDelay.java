package org.troutpier.daemon.overload;

/**
 * The delay of the event loop that persists. Work that arrives together delays the loop for a
 * moment, and so does a suspension of the process; what the loop cannot keep up with delays each of
 * its tasks. Not thread safe; confined to the traffic loop. Invariant: the delay is 0 until enough
 * samples were recorded.
 */
final class LoopDelay {

    private final long[] mSamples;

    private int mCount;

    /**
     * Creates an instance without any samples.
     *
     * @param samples the number of samples that a persistent delay is seen in
     */
    LoopDelay(int samples) {
        mSamples = new long[samples];
    }

    /**
     * Records a sample.
     *
     * @param millis how late a task ran
     */
    void record(long millis) {
        mSamples[mCount++ % mSamples.length] = Math.max(0, millis);
    }

    /** Returns the shortest delay of the last samples, milliseconds. */
    long persistentMillis() {
        if (mCount < mSamples.length) {
            return 0;
        }
        long shortest = Long.MAX_VALUE;
        for (long sample : mSamples) {
            shortest = Math.min(shortest, sample);
        }
        return shortest;
    }
}
