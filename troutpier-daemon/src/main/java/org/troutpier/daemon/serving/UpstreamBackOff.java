package org.troutpier.daemon.serving;

import java.util.random.RandomGenerator;

/**
 * The back-off that one upstream has asked this router for, and the return to it. Confined to the
 * traffic loop, except that {@link #endsAt()} may be read by any thread. Invariants: no call is
 * admitted before the latest end that was asked for; after it, calls are admitted one at a time,
 * and twice as many with each success, until {@link #RETURN_MILLIS} have passed.
 */
final class UpstreamBackOff {

    /** For how long after a back-off only some calls are admitted at most, milliseconds. */
    static final long RETURN_MILLIS = 2000;

    /**
     * By which part of a back-off its end is put off at most, so that routers that were asked at
     * the same time do not return together.
     */
    private static final double SPREAD = 0.1;

    /** By how much an end is put off at most, milliseconds. */
    private static final long MOST_SPREAD_MILLIS = 500;

    /** When calls are admitted again, milliseconds; 0 where no back-off was asked for. */
    private volatile long mEndsAt;

    /** How many calls may be under way while the upstream is returned to. */
    private int mAdmitted = 1;

    /** How many calls were not sent to the upstream. */
    private long mWithheld;

    /**
     * Takes a back-off.
     *
     * @param millis for how long, milliseconds
     * @param now the clock, milliseconds
     * @param random draws by how much its end is put off
     */
    void asked(long millis, long now, RandomGenerator random) {
        long spread = (long) Math.min(MOST_SPREAD_MILLIS, millis * SPREAD);
        mEndsAt = Math.max(mEndsAt, now + millis + random.nextLong(spread + 1));
        mAdmitted = 1;
    }

    /**
     * Returns when calls are admitted again.
     *
     * @return milliseconds; 0 where no back-off was asked for
     */
    long endsAt() {
        return mEndsAt;
    }

    /**
     * Returns whether a call is admitted.
     *
     * @param underWay how many calls of this router are under way at the upstream
     * @param now the clock, milliseconds
     * @return whether it is
     */
    boolean admits(int underWay, long now) {
        boolean admitted = now >= mEndsAt && (returned(now) || underWay < mAdmitted);
        if (!admitted) {
            mWithheld++;
        }
        return admitted;
    }

    /**
     * Returns whether the back-off and the return after it are over.
     *
     * @param now the clock, milliseconds
     * @return whether any number of calls is admitted
     */
    boolean returned(long now) {
        return mEndsAt == 0 || now >= mEndsAt + RETURN_MILLIS;
    }

    /**
     * Takes a success.
     *
     * @param sentAt when its call was sent, milliseconds
     */
    void succeeded(long sentAt) {
        if (sentAt >= mEndsAt) {
            mAdmitted = Math.min(Integer.MAX_VALUE / 2, 2 * mAdmitted);
        }
    }

    /**
     * Returns how many calls were not sent to the upstream.
     *
     * @return the count since the first back-off
     */
    long withheld() {
        return mWithheld;
    }
}
