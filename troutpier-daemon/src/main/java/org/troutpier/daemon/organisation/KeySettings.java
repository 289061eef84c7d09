package org.troutpier.daemon.organisation;

import org.troutpier.common.settings.Check;

/**
 * Settings for keys that have not been confirmed recently. Immutable and thread safe.
 *
 * @param confirmedMillis how long a confirmation that the configuration is the latest remains
 *     valid, milliseconds
 * @param refuseUnconfirmed whether requests with keys are refused after that; otherwise the last
 *     known keys remain valid
 */
public record KeySettings(int confirmedMillis, boolean refuseUnconfirmed) {

    /** The default settings; the last known keys remain valid. */
    public static final KeySettings DEFAULT = new KeySettings(5000, false);

    private static final int MAX_CONFIRMED_MILLIS = 3_600_000;

    /** Validates the settings. */
    public KeySettings {
        Check.range("confirmedMillis", confirmedMillis, 1, MAX_CONFIRMED_MILLIS);
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public String toString() {
        return "KeySettings[confirmedMillis="
                + confirmedMillis
                + ", refuseUnconfirmed="
                + refuseUnconfirmed
                + ']';
    }
}
