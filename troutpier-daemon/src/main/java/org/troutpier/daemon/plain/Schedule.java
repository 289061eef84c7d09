package org.troutpier.daemon.plain;

/** The clock and the timers of the traffic loop. Implementations are confined to it. */
public interface Schedule {

    /** Returns the monotonic clock, milliseconds. */
    long millis();

    /**
     * Runs an action after a delay, once the load of the other routers is known recently enough.
     *
     * @param millis the delay
     */
    void runFresh(Runnable action, long millis);
}
