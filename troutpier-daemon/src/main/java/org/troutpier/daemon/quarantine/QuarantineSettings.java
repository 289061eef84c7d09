package org.troutpier.daemon.quarantine;

import java.util.concurrent.TimeUnit;
import org.troutpier.common.declaration.Tokens;
import org.troutpier.common.settings.Check;

/**
 * Settings that determine for which traits requests are no longer run. Immutable and thread safe.
 *
 * @param crashes the number of crashed upstreams that quarantines a trait
 * @param seconds how long it stays quarantined after the last change of its record
 * @param knownMillis how soon each router must know of it, milliseconds
 * @param operatorTokenHash SHA-256 hash of the token that may clear traits; if empty or absent, no
 *     token may
 */
public record QuarantineSettings(
        int crashes, int seconds, int knownMillis, String operatorTokenHash) {

    /**
     * Default settings. A single crash may happen during any request, and two during one that is
     * retried in a bad minute; three are what operators accept to lose.
     */
    public static final QuarantineSettings DEFAULT = new QuarantineSettings(3, 3600, 3000, "");

    /**
     * How long a trait is remembered whose requests are still run, milliseconds: ten minutes,
     * within which callers have either given up or retried.
     */
    static final long SUSPECT_RETENTION_MILLIS = 600_000;

    /**
     * How long a part of a prompt counts as sound after a request with it was completed,
     * milliseconds. A part that an upstream's new version no longer bears is suspected after that.
     */
    static final long SOUND_RETENTION_MILLIS = 120_000;

    private static final int MAX_CRASHES = CrashRecord.MAX_UPSTREAMS;

    /** One week. */
    private static final int MAX_SECONDS = 604_800;

    /** Shortest time in which routers can inform each other through the store, milliseconds. */
    private static final int MIN_KNOWN_MILLIS = 500;

    /** Longest time for which a router may be unaware of a quarantined request, milliseconds. */
    private static final int MAX_KNOWN_MILLIS = 60_000;

    /** Validates the components. */
    public QuarantineSettings {
        Check.range("crashes", crashes, 1, MAX_CRASHES);
        Check.range("seconds", seconds, 1, MAX_SECONDS);
        Check.range("knownMillis", knownMillis, MIN_KNOWN_MILLIS, MAX_KNOWN_MILLIS);
        operatorTokenHash = operatorTokenHash == null ? "" : operatorTokenHash;
        Check.that(
                "operatorTokenHash",
                operatorTokenHash.isEmpty() || Tokens.isHash(operatorTokenHash),
                "must be a SHA-256 hash in hexadecimal digits");
    }

    /** Returns whether a trait with these crashes is quarantined, unless others explain them. */
    public boolean isQuarantined(CrashRecord record) {
        return record.ended().size() >= crashes;
    }

    /** Returns whether one more crash quarantines a trait, or whether it is quarantined already. */
    public boolean isNearThreshold(CrashRecord record) {
        return record.ended().size() >= crashes - 1;
    }

    /**
     * Returns how long a trait is remembered after the last change of its record.
     *
     * @return milliseconds
     */
    public long retentionMillis(CrashRecord record) {
        return isQuarantined(record) ? quarantineMillis() : SUSPECT_RETENTION_MILLIS;
    }

    long quarantineMillis() {
        return TimeUnit.SECONDS.toMillis(seconds);
    }

    /**
     * Returns whether a token may clear traits.
     *
     * @param tokenHash the SHA-256 hash of the token
     */
    boolean mayClear(String tokenHash) {
        return !operatorTokenHash.isEmpty() && operatorTokenHash.equals(tokenHash);
    }

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public String toString() {
        return "QuarantineSettings[crashes="
                + crashes
                + ", seconds="
                + seconds
                + ", knownMillis="
                + knownMillis
                + ", operatorTokenHash="
                + operatorTokenHash
                + ']';
    }
}
