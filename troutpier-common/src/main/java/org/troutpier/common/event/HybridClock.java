package org.troutpier.common.event;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock: monotonic, close to the wall clock, and later than every stamp that it
 * has observed. A stamp holds milliseconds in its upper 48 bits and a counter in its lower 16.
 * Thread safe.
 */
public final class HybridClock {

    /** How many bits the counter takes. */
    public static final int COUNTER_BITS = 16;

    /** The last stamp that was returned or observed. */
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

    /** Returns a stamp later than all that were returned or observed before. */
    public long next() {
        long wall = mWallMillis.getAsLong() << COUNTER_BITS;
        return mLast.updateAndGet(last -> Math.max(last + 1, wall));
    }

    /** Advances the clock to at least a stamp of another process. */
    public void observe(long stamp) {
        mLast.accumulateAndGet(stamp, Math::max);
    }
}
