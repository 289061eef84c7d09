package org.troutpier.daemon.node;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts what must never happen; with {@code -Dtroutpier.invariants=fatal} it ends the process, as
 * tests and soak runs want. Thread safe.
 */
public final class Invariants {

    /** Logs each breach. */
    private static final Logger LOGGER = LogManager.getLogger(Invariants.class);

    /** How many breaches there were. */
    private static final AtomicLong BROKEN = new AtomicLong();

    /** Not to be instantiated. */
    private Invariants() {}

    /**
     * Checks what must hold.
     *
     * @param holds whether it holds
     * @param name the invariant
     * @param detail the offending values
     */
    public static void check(boolean holds, String name, Object detail) {
        if (!holds) {
            recordViolation(name, detail);
        }
    }

    /**
     * Takes note of a breach.
     *
     * @param name the invariant
     * @param detail the offending values
     */
    public static void recordViolation(String name, Object detail) {
        BROKEN.incrementAndGet();
        LOGGER.fatal("invariant broken: {} {}", name, detail);
        if ("fatal".equals(System.getProperty("troutpier.invariants"))) {
            Runtime.getRuntime().halt(70);
        }
    }

    /**
     * Returns how many breaches there were.
     *
     * @return the count, 0 in a sound router
     */
    public static long violationCount() {
        return BROKEN.get();
    }
}
