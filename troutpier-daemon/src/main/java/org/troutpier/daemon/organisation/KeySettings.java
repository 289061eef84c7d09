package org.troutpier.daemon.organisation;

import org.troutpier.common.settings.Check;

/**
 * What a router does with keys that nothing has confirmed lately. Immutable and thread safe.
 *
 * @param confirmedMillis how long a word that the configuration is the newest counts, milliseconds
 * @param refuseUnconfirmed whether requests with keys are refused after that; otherwise the last
 *     keys that were known go on to count
 */
public record KeySettings(int confirmedMillis, boolean refuseUnconfirmed) {

    /** What holds where nothing is set: the last known keys count. */
    public static final KeySettings DEFAULT = new KeySettings(5000, false);

    /** The longest time that may be set, milliseconds. */
    private static final int MOST_MILLIS = 3_600_000;

    /** Checks the fields. */
    public KeySettings {
        Check.range("confirmedMillis", confirmedMillis, 1, MOST_MILLIS);
    }
}
