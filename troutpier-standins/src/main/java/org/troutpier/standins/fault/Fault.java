package org.troutpier.standins.fault;

import java.util.Locale;

/** What can be made to go wrong in a stand-in. Immutable and thread safe. */
public enum Fault {
    /** Every request is answered 503 with no proof of anything. */
    OUTAGE,
    /** No request is answered. */
    HANG,
    /** Every answer is later by the amount, in milliseconds. */
    DELAY,
    /** Writes take effect, but the connection is cut in place of an answer. */
    LOST_ACK,
    /** Streams are cut after the amount, in tokens or bytes. */
    CUT,
    /** Requests are refused as not started. */
    FULL,
    /** Answers bear another request's id. */
    WRONG_ID,
    /** Transfers of prefill results do not move. */
    STALL,
    /** The upstream is leaving: it refuses new work as not started. */
    LEAVING;

    /**
     * Returns the name on the wire.
     *
     * @return the name in lower case with dashes
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a fault.
     *
     * @param label its name on the wire
     * @return the fault
     */
    public static Fault of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
