package org.troutpier.daemon.overload;

/**
 * The load of a router. Immutable and thread safe.
 *
 * @param delayMillis the delay of its event loop that persists, milliseconds
 * @param link the part of its link's bandwidth that is used; above 1 while bytes wait
 */
public record RouterLoad(long delayMillis, double link) {

    /** No load. */
    public static final RouterLoad NONE = new RouterLoad(0, 0);

    /** Delay up to which answers are hardly later for it, milliseconds. */
    private static final long MAX_DELAY_MILLIS = 30;

    /**
     * Part of the bandwidth up to which bytes hardly wait. The rest is needed for what is not
     * counted: headers of packets, and messages between routers.
     */
    private static final double MAX_LINK = 0.8;

    /** Returns the load in multiples of what the router bears without adding delay. */
    double relative() {
        return Math.max((double) delayMillis / MAX_DELAY_MILLIS, link / MAX_LINK);
    }

    /** Returns whether the router itself delays what it serves. */
    public boolean isExcessive() {
        return relative() > 1;
    }
}
