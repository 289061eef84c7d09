package org.troutpier.common.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A monotonic clock that includes the time for which the machine was suspended. The system's
 * monotonic clock stops during a suspension: after one of ten seconds, by that clock a router still
 * held a lease that another had taken. The wall clock continues, so if it advanced much further
 * than the monotonic clock between two readings, the difference is counted as a suspension. If it
 * was set ahead instead, cached state looks older than it is and is read again. A suspension is not
 * detected if the wall clock is set back by as much meanwhile. Thread safe. Invariant: it never
 * goes back.
 */
public final class ElapsedClock implements LongSupplier {

    /**
     * How much further than the monotonic clock the wall clock must advance to count as a
     * suspension, nanoseconds: half of the shortest safety margin between routers, and more than
     * ordinary corrections between two readings.
     */
    static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final Logger LOGGER = LogManager.getLogger(ElapsedClock.class);

    /** The monotonic clock, nanoseconds. */
    private final LongSupplier mMonotonicNanos;

    /** The wall clock, milliseconds. */
    private final LongSupplier mWallMillis;

    /** The monotonic clock at the last reading, nanoseconds. */
    private long mLastMonotonic;

    /** The wall clock at the last reading, nanoseconds. */
    private long mLastWall;

    /** Total time of all suspensions, nanoseconds. */
    private long mSuspended;

    /** Creates a clock over the system's clocks. */
    public ElapsedClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Creates a clock.
     *
     * @param monotonicNanos the monotonic clock, nanoseconds
     * @param wallMillis the wall clock, milliseconds
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
     * @return nanoseconds since an arbitrary origin
     */
    @Override
    public synchronized long getAsLong() {
        long monotonic = mMonotonicNanos.getAsLong();
        long wall = wallNanos();
        long ahead = wall - mLastWall - (monotonic - mLastMonotonic);
        mLastMonotonic = monotonic;
        mLastWall = wall;
        if (ahead >= MIN_SUSPENSION_NANOS) {
            mSuspended += ahead;
            long millis = TimeUnit.NANOSECONDS.toMillis(ahead);
            LOGGER.warn("machine suspended, or time of day set ahead, millis={}", millis);
        }
        return monotonic + mSuspended;
    }

    /**
     * Returns the wall clock.
     *
     * @return nanoseconds
     */
    private long wallNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mWallMillis.getAsLong());
    }
}
