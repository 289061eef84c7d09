package org.troutpier.daemon.overload;

/**
 * The load of a router. Immutable and thread safe.
 *
 * @param loopMillis the delay of its event loop that persists, milliseconds
 * @param connectMillis how much longer than usual all its connections take to open, milliseconds
 * @param link the part of its link's bandwidth that is used; above 1 while bytes wait
 */
public record RouterLoad(long loopMillis, long connectMillis, double link) {

    /** No load. */
    public static final RouterLoad NONE = new RouterLoad(0, 0, 0);

    /**
     * Delay up to which answers are hardly later for it, milliseconds. A call has it four times:
     * when its caller connects and is answered, and when the upstream is connected to and answers.
     */
    private static final double MAX_DELAY_MILLIS = 40;

    /** Returns the load in multiples of what the router bears. */
    double relative() {
        return Math.max(loopMillis, connectMillis) / MAX_DELAY_MILLIS;
    }

    /** Returns whether the router itself delays what it serves. */
    boolean isExcessive() {
        return relative() > 1;
    }
}
