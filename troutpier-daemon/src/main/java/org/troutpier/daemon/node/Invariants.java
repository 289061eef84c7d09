package org.troutpier.daemon.node;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts violated invariants. With {@code -Dtroutpier.invariants=fatal}, as in tests and soak runs,
 * a violation halts the process. Thread safe.
 */
public final class Invariants {

    private static final Logger LOGGER = LogManager.getLogger(Invariants.class);

    private static final AtomicLong VIOLATIONS = new AtomicLong();

    private Invariants() {}

    /**
     * Records a violation if an invariant does not hold.
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
     * Records a violation.
     *
     * @param name the invariant
     * @param detail the offending values
     */
    public static void recordViolation(String name, Object detail) {
        VIOLATIONS.incrementAndGet();
        LOGGER.fatal("invariant broken: {} {}", name, detail);
        if ("fatal".equals(System.getProperty("troutpier.invariants"))) {
            Runtime.getRuntime().halt(70);
        }
    }

    /** Returns the number of violations since the process started. */
    public static long violationCount() {
        return VIOLATIONS.get();
    }
}
