package org.troutpier.daemon.organisation;

import java.util.function.LongSupplier;

/**
 * Decides whether keys are accepted, by the time at which this router's configuration was last
 * confirmed to be the latest. Thread safe. Invariant: the clock includes time in suspension, so a
 * machine that resumes does not accept outdated keys.
 */
public final class KeyTrust {

    private final KeySettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** The time of the last confirmation, milliseconds. */
    private volatile long mConfirmedAt;

    /**
     * Creates an instance whose configuration counts as confirmed now.
     *
     * @param settings the settings for unconfirmed keys
     * @param millis the monotonic clock, milliseconds
     */
    public KeyTrust(KeySettings settings, LongSupplier millis) {
        mSettings = settings;
        mMillis = millis;
        mConfirmedAt = millis.getAsLong();
    }

    /**
     * Records that the configuration was confirmed to be the latest.
     *
     * @param at when it was, milliseconds on the monotonic clock
     */
    public void recordConfirmation(long at) {
        mConfirmedAt = at;
    }

    /**
     * Returns whether keys are accepted: always, unless the settings refuse unconfirmed keys and
     * the last confirmation is no longer valid.
     */
    public boolean acceptsKeys() {
        return !mSettings.refuseUnconfirmed()
                || mMillis.getAsLong() - mConfirmedAt <= mSettings.confirmedMillis();
    }
}
