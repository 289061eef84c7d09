package org.troutpier.daemon.limit;

/**
 * A limit whose difference to a higher one before it is taken away over one window: use that the
 * one before allowed would otherwise refuse all that the new one allows. Confined to one thread.
 * Invariant: it is never below the limit in force.
 */
public final class GradualLimit {

    /** How long the window is, milliseconds. */
    private final long mWindowMillis;

    /** The limit in force, per window. */
    private double mLimit;

    /** What was allowed when the limit in force was set, per window. */
    private double mBefore;

    /** When the limit in force was set, milliseconds. */
    private long mSetAt;

    /**
     * Creates a limit that was never lowered.
     *
     * @param limit what may be used in a window
     * @param windowMillis how long the window is, milliseconds
     */
    public GradualLimit(double limit, long windowMillis) {
        mWindowMillis = windowMillis;
        mLimit = limit;
        mBefore = limit;
    }

    /**
     * Sets the limit in force, and goes on from what is allowed now.
     *
     * @param limit what may be used in a window
     * @param now the monotonic clock, milliseconds
     */
    public void set(double limit, long now) {
        set(limit, current(now), now);
    }

    /**
     * Sets the limit in force.
     *
     * @param limit what may be used in a window
     * @param before what is allowed at this moment
     * @param now the monotonic clock, milliseconds
     */
    public void set(double limit, double before, long now) {
        mBefore = Math.max(limit, before);
        mLimit = limit;
        mSetAt = now;
    }

    /**
     * Returns the limit in force.
     *
     * @return what may be used in a window
     */
    public double target() {
        return mLimit;
    }

    /**
     * Returns what is allowed now.
     *
     * @param now the monotonic clock, milliseconds
     * @return what may be used in a window
     */
    public double current(long now) {
        double left = Math.max(0, 1 - (now - mSetAt) / (double) mWindowMillis);
        return left == 0 ? mLimit : mLimit + (mBefore - mLimit) * left;
    }
}
