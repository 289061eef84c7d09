package org.troutpier.standins.fault;

import java.util.EnumMap;
import java.util.Map;

/** Which faults are on, until when, and how strong. Thread safe by its lock. */
public final class FaultBoard {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS = 1_000_000L;

    /** The faults that were switched on. */
    private final Map<Fault, Entry> mEntries = new EnumMap<>(Fault.class);

    /**
     * One fault that was switched on.
     *
     * @param untilNanos when it ends, by {@link System#nanoTime()}
     * @param amount how strong it is
     */
    private record Entry(long untilNanos, int amount) {}

    /**
     * Switches a fault on.
     *
     * @param fault the fault
     * @param millis how long, 0 to switch it off
     * @param amount how strong
     */
    public synchronized void set(Fault fault, long millis, int amount) {
        mEntries.put(fault, new Entry(System.nanoTime() + millis * NANOS, amount));
    }

    /**
     * Returns whether a fault is on.
     *
     * @param fault the fault
     * @return whether it is on now
     */
    public synchronized boolean on(Fault fault) {
        Entry entry = mEntries.get(fault);
        return entry != null && entry.untilNanos() - System.nanoTime() > 0;
    }

    /**
     * Returns how strong a fault is.
     *
     * @param fault the fault
     * @return its amount, or 0 where it is off
     */
    public synchronized int amount(Fault fault) {
        return on(fault) ? mEntries.get(fault).amount() : 0;
    }
}
