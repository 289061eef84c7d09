package org.troutpier.common.event;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock: never goes back, stays near the wall clock, and is later than every stamp
 * it has seen. A stamp holds milliseconds in its upper 48 bits and a counter in its lower 16.
 * Thread safe.
 */
public final class HybridClock {

    /** How many bits the counter takes. */
    public static final int COUNTER_BITS = 16;

    /** The last stamp given or seen. */
    private final AtomicLong mLast = new AtomicLong();

    /** The wall clock, in milliseconds. */
    private final LongSupplier mWallMillis;

    /** Creates a clock over the system's wall clock. */
    public HybridClock() {
        this(System::currentTimeMillis);
    }

    /**
     * Creates a clock.
     *
     * @param wallMillis the wall clock, in milliseconds
     */
    public HybridClock(LongSupplier wallMillis) {
        mWallMillis = wallMillis;
    }

    /**
     * Returns the next stamp.
     *
     * @return a stamp later than all before
     */
    public long next() {
        long wall = mWallMillis.getAsLong() << COUNTER_BITS;
        return mLast.updateAndGet(last -> Math.max(last + 1, wall));
    }

    /**
     * Takes note of another process's stamp.
     *
     * @param stamp the stamp seen
     */
    public void observe(long stamp) {
        mLast.accumulateAndGet(stamp, Math::max);
    }
}
