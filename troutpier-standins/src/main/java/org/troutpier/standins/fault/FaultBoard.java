package org.troutpier.standins.fault;

import java.util.EnumMap;
import java.util.Map;

/** The faults that are active, with their end and amount. Thread safe; guarded by its own lock. */
public final class FaultBoard {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<Fault, Entry> mEntries = new EnumMap<>(Fault.class);

    /**
     * A fault that has been switched on.
     *
     * @param untilNanos when it ends, as {@link System#nanoTime()}
     * @param amount the amount, whose unit depends on the fault
     */
    private record Entry(long untilNanos, int amount) {}

    /**
     * Switches a fault on.
     *
     * @param fault the fault
     * @param millis its duration, 0 to switch it off
     * @param amount its amount
     */
    public synchronized void set(Fault fault, long millis, int amount) {
        mEntries.put(fault, new Entry(System.nanoTime() + millis * NANOS_PER_MILLI, amount));
    }

    /**
     * Returns whether a fault is active.
     *
     * @param fault the fault
     * @return whether it is active now
     */
    public synchronized boolean on(Fault fault) {
        Entry entry = mEntries.get(fault);
        return entry != null && entry.untilNanos() - System.nanoTime() > 0;
    }

    /**
     * Returns the amount of a fault.
     *
     * @param fault the fault
     * @return the amount, or 0 when the fault is not active
     */
    public synchronized int amount(Fault fault) {
        return on(fault) ? mEntries.get(fault).amount() : 0;
    }
}
