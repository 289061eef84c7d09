package org.troutpier.standins.fault;

import java.util.Locale;

/** Faults that can be injected into a stand-in. Immutable and thread safe. */
public enum Fault {
    /** Every request is answered 503, without an indication of whether it was started. */
    OUTAGE,
    /** No request is answered. */
    HANG,
    /** Every request is delayed by the amount, in milliseconds. */
    DELAY,
    /** Writes take effect, but the connection is closed instead of an answer. */
    LOST_ACK,
    /** Streams are cut off after the amount, in tokens or bytes. */
    CUT,
    /** Requests are refused as not started. */
    FULL,
    /** Answers carry the id of another request. */
    WRONG_ID,
    /** Transfers of prefill results make no progress. */
    STALL,
    /** The upstream is shutting down and refuses new work as not started. */
    LEAVING;

    /**
     * Returns the name in URLs.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the fault of a name.
     *
     * @param label its name in URLs
     * @return the fault
     */
    public static Fault of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
