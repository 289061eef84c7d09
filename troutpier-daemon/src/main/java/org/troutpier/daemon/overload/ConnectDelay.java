package org.troutpier.daemon.overload;

import java.util.List;

/**
 * How much longer than usual all connections to upstreams recently took to open. One upstream or
 * path may be slow; if the fastest of several is, then what they have in common is, the link and
 * the event loop of this router. Not thread safe; confined to the traffic loop. Invariant: the
 * delay is 0 while few connections are opened.
 */
final class ConnectDelay {

    /** Connections that are needed to tell the router's delay from that of an upstream. */
    private static final int MIN_CONNECTIONS = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    /** The shortest time of each of the last samples. */
    private final long[] mShortest;

    /** The number of connections of each of the last samples. */
    private final int[] mConnections;

    private int mCount;

    private long mBestEver = Long.MAX_VALUE;

    /**
     * Creates an instance without any samples.
     *
     * @param samples the number of last samples that count
     */
    ConnectDelay(int samples) {
        mShortest = new long[samples];
        mConnections = new int[samples];
    }

    /**
     * Records a sample.
     *
     * @param connectNanos how long the connections took that were opened since the last sample
     */
    void record(List<Long> connectNanos) {
        int slot = mCount++ % mShortest.length;
        mConnections[slot] = connectNanos.size();
        mShortest[slot] = Long.MAX_VALUE;
        for (long nanos : connectNanos) {
            mShortest[slot] = Math.min(mShortest[slot], nanos);
        }
        mBestEver = Math.min(mBestEver, mShortest[slot]);
    }

    /** Returns the delay, milliseconds. */
    long millis() {
        int connections = 0;
        long shortest = Long.MAX_VALUE;
        for (int slot = 0; slot < mShortest.length; slot++) {
            connections += mConnections[slot];
            if (mConnections[slot] > 0) {
                shortest = Math.min(shortest, mShortest[slot]);
            }
        }
        return connections < MIN_CONNECTIONS
                ? 0
                : Math.round((shortest - mBestEver) / NANOS_PER_MILLI);
    }
}
