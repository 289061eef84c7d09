package org.troutpier.daemon.quarantine;

import org.troutpier.common.settings.Check;

/**
 * When a request is no longer run. Immutable and thread safe.
 *
 * @param crashes under how many ended upstreams it is put into quarantine
 * @param seconds for how long it stays there, counted from the last word of it
 * @param knownMillis how soon each router must know of it
 */
public record QuarantineSettings(int crashes, int seconds, int knownMillis) {

    /**
     * What holds where nothing is set: one end happens to any request of an ordinary crash, two to
     * one that is tried again in a bad minute, and three are what operators accept to lose.
     */
    public static final QuarantineSettings DEFAULT = new QuarantineSettings(3, 3600, 3000);

    /** The most upstreams that may be lost to one request. */
    private static final int MOST_CRASHES = CrashRecord.MOST_NAMED;

    /** The longest time that may be set, seconds: a week. */
    private static final int MOST_SECONDS = 604_800;

    /** The shortest time in which routers can tell each other through the store, milliseconds. */
    private static final int LEAST_KNOWN_MILLIS = 500;

    /** The longest time that a router may not know, milliseconds. */
    private static final int MOST_KNOWN_MILLIS = 60_000;

    /** Checks the fields. */
    public QuarantineSettings {
        Check.range("crashes", crashes, 1, MOST_CRASHES);
        Check.range("seconds", seconds, 1, MOST_SECONDS);
        Check.range("knownMillis", knownMillis, LEAST_KNOWN_MILLIS, MOST_KNOWN_MILLIS);
    }
}
