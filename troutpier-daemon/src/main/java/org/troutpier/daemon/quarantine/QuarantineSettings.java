package org.troutpier.daemon.quarantine;

import java.util.regex.Pattern;
import org.troutpier.common.settings.Check;

/**
 * When a request is no longer run. Immutable and thread safe.
 *
 * @param crashes under how many ended upstreams it is put into quarantine
 * @param seconds for how long it stays there, counted from the last word of it
 * @param knownMillis how soon each router must know of it
 * @param operatorTokenHash SHA-256 of the token that may clear a request; empty where none may, as
 *     where it is left out
 */
public record QuarantineSettings(
        int crashes, int seconds, int knownMillis, String operatorTokenHash) {

    /** What a hash looks like, or its absence; set before the first settings are made. */
    private static final Pattern HASH = Pattern.compile("([0-9a-f]{64})?");

    /**
     * What holds where nothing is set: one end happens to any request of an ordinary crash, two to
     * one that is tried again in a bad minute, and three are what operators accept to lose.
     */
    public static final QuarantineSettings DEFAULT = new QuarantineSettings(3, 3600, 3000, "");

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
        operatorTokenHash = operatorTokenHash == null ? "" : operatorTokenHash;
        boolean hash = HASH.matcher(operatorTokenHash).matches();
        Check.that("operatorTokenHash", hash, "must be a SHA-256 hash in hexadecimal digits");
    }

    /**
     * Returns whether a token may clear requests.
     *
     * @param tokenHash the token's SHA-256
     * @return whether it is the operator's
     */
    boolean mayClear(String tokenHash) {
        return !operatorTokenHash.isEmpty() && operatorTokenHash.equals(tokenHash);
    }
}
