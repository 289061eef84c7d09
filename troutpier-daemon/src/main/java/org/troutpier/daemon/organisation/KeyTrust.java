package org.troutpier.daemon.organisation;

import java.util.function.LongSupplier;

/**
 * Whether keys count, by when this router last knew that its configuration is the newest. Thread
 * safe. Invariant: the clock counts a suspension, so a machine that slept does not trust old keys.
 */
public final class KeyTrust {

    /** What a router does with keys that nothing has confirmed lately. */
    private final KeySettings mSettings;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** When the configuration was last known to be the newest, milliseconds. */
    private volatile long mConfirmedAt;

    /**
     * Creates a trust that begins now.
     *
     * @param settings what a router does with keys that nothing has confirmed lately
     * @param millis the monotonic clock, milliseconds
     */
    public KeyTrust(KeySettings settings, LongSupplier millis) {
        mSettings = settings;
        mMillis = millis;
        mConfirmedAt = millis.getAsLong();
    }

    /** Takes note that the configuration is the newest. */
    public void recordConfirmation() {
        mConfirmedAt = mMillis.getAsLong();
    }

    /**
     * Returns whether requests are admitted by their keys.
     *
     * @return whether the keys were confirmed lately, or count without that
     */
    public boolean acceptsKeys() {
        return !mSettings.refuseUnconfirmed()
                || mMillis.getAsLong() - mConfirmedAt <= mSettings.confirmedMillis();
    }
}
