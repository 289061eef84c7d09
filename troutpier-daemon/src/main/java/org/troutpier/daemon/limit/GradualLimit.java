package org.troutpier.daemon.limit;

/**
 * A limit that is lowered gradually over one window. Otherwise, usage that was allowed under the
 * previous limit would cause the refusal of everything that the new one allows. Not thread safe.
 * Invariant: the current limit is never below the target.
 */
public final class GradualLimit {

    private final long mWindowMillis;

    /** The limit per window once a reduction is complete. */
    private double mTarget;

    /** The limit per window at the time when the target was set. */
    private double mInitial;

    /** When the target was set, milliseconds. */
    private long mSetAt;

    /**
     * Creates a limit that is in effect at once.
     *
     * @param limit the limit per window
     * @param windowMillis the length of the window, milliseconds
     */
    public GradualLimit(double limit, long windowMillis) {
        mWindowMillis = windowMillis;
        mTarget = limit;
        mInitial = limit;
    }

    /**
     * Sets a new target and starts from the current limit.
     *
     * @param limit the target per window
     * @param now the monotonic clock, milliseconds
     */
    public void set(double limit, long now) {
        set(limit, current(now), now);
    }

    /**
     * Sets a new target and the limit to start from.
     *
     * @param limit the target per window
     * @param initial the limit per window at this time
     * @param now the monotonic clock, milliseconds
     */
    public void set(double limit, double initial, long now) {
        mInitial = Math.max(limit, initial);
        mTarget = limit;
        mSetAt = now;
    }

    /** Returns the limit per window once a reduction is complete. */
    public double target() {
        return mTarget;
    }

    /**
     * Returns the limit per window at a time.
     *
     * @param now the monotonic clock, milliseconds
     */
    public double current(long now) {
        double remaining = Math.max(0, 1 - (now - mSetAt) / (double) mWindowMillis);
        return remaining == 0 ? mTarget : mTarget + (mInitial - mTarget) * remaining;
    }
}
