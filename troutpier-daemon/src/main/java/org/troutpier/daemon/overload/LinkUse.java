package org.troutpier.daemon.overload;

/**
 * The part of a link's bandwidth that is used, in the busier direction. Not thread safe; confined
 * to the traffic loop. Invariant: the part may exceed 1 while bytes wait for the link.
 */
final class LinkUse {

    private static final int BITS_PER_BYTE = 8;

    /** Bits that a link of one Mbit/s carries in a millisecond. */
    private static final double BITS_PER_MILLI = 1000;

    private final double mBytesPerMilli;

    /** The totals of earlier samples, a ring buffer. */
    private final Sample[] mSamples;

    private int mCount;

    private double mUse;

    /**
     * Totals at one time. Immutable and thread safe.
     *
     * @param received the bytes received so far
     * @param sent the bytes sent so far
     * @param at the time, milliseconds
     */
    record Sample(long received, long sent, long at) {}

    /**
     * Creates an instance without any samples.
     *
     * @param megabits the bandwidth in each direction, Mbit/s
     * @param samples the number of intervals between samples over which the use is averaged
     */
    LinkUse(double megabits, int samples) {
        mBytesPerMilli = megabits * BITS_PER_MILLI / BITS_PER_BYTE;
        mSamples = new Sample[samples];
    }

    /** Records the totals at a time, which is later than that of the sample before. */
    void record(Sample sample) {
        int slot = mCount++ % mSamples.length;
        Sample earliest = mSamples[slot];
        mSamples[slot] = sample;
        if (earliest != null) {
            long bytes =
                    Math.max(
                            sample.received() - earliest.received(),
                            sample.sent() - earliest.sent());
            mUse = bytes / (mBytesPerMilli * Math.max(1, sample.at() - earliest.at()));
        }
    }

    /** Returns the part that is used; 0 until enough samples were recorded. */
    double part() {
        return mUse;
    }
}
