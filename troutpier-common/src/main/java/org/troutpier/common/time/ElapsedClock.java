package org.troutpier.common.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A monotonic clock that also counts the time for which the machine was suspended. The system's own
 * stands still meanwhile: after ten seconds that a router did not see, it believed that it held a
 * lease which another had taken. The time of day goes on, so where it moved on much further than
 * the monotonic clock between two looks, the difference is taken for a suspension. It may have been
 * set ahead instead; then what is known looks older than it is, and is read anew. A suspension
 * during which the time of day is set back by as much is not seen. Thread safe. Invariant: it never
 * goes back.
 */
public final class ElapsedClock implements LongSupplier {

    /**
     * How much further the time of day must have moved on, nanoseconds: half of the shortest margin
     * between routers, and more than its ordinary corrections between two looks.
     */
    static final long LEAST_SUSPENDED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Logs suspensions. */
    private static final Logger LOGGER = LogManager.getLogger(ElapsedClock.class);

    /** The monotonic clock, nanoseconds. */
    private final LongSupplier mMonotonicNanos;

    /** The time of day, milliseconds. */
    private final LongSupplier mWallMillis;

    /** The monotonic clock at the last look, nanoseconds. */
    private long mLastMonotonic;

    /** The time of day at the last look, nanoseconds. */
    private long mLastWall;

    /** For how long the machine was suspended in all, nanoseconds. */
    private long mSuspended;

    /** Creates a clock on those of the system. */
    public ElapsedClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Creates a clock.
     *
     * @param monotonicNanos the monotonic clock, nanoseconds
     * @param wallMillis the time of day, milliseconds
     */
    public ElapsedClock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
        mMonotonicNanos = monotonicNanos;
        mWallMillis = wallMillis;
        mLastMonotonic = monotonicNanos.getAsLong();
        mLastWall = wallNanos();
    }

    /**
     * Returns the time.
     *
     * @return nanoseconds since an arbitrary moment
     */
    @Override
    public synchronized long getAsLong() {
        long monotonic = mMonotonicNanos.getAsLong();
        long wall = wallNanos();
        long ahead = wall - mLastWall - (monotonic - mLastMonotonic);
        mLastMonotonic = monotonic;
        mLastWall = wall;
        if (ahead >= LEAST_SUSPENDED_NANOS) {
            mSuspended += ahead;
            long millis = TimeUnit.NANOSECONDS.toMillis(ahead);
            LOGGER.warn("machine suspended, or time of day set ahead, millis={}", millis);
        }
        return monotonic + mSuspended;
    }

    /**
     * Returns the time of day.
     *
     * @return nanoseconds
     */
    private long wallNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mWallMillis.getAsLong());
    }
}
