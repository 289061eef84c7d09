package org.troutpier.daemon.quarantine;

import java.util.concurrent.TimeUnit;
import org.troutpier.common.declaration.Tokens;
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

    /**
     * What holds where nothing is set: one end happens to any request of an ordinary crash, two to
     * one that is tried again in a bad minute, and three are what operators accept to lose.
     */
    public static final QuarantineSettings DEFAULT = new QuarantineSettings(3, 3600, 3000, "");

    /**
     * How long a request is remembered that is still run, milliseconds: ten minutes, in which a
     * caller has given up or come back.
     */
    static final long SUSPECT_MILLIS = 600_000;

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
        Check.that(
                "operatorTokenHash",
                operatorTokenHash.isEmpty() || Tokens.isHash(operatorTokenHash),
                "must be a SHA-256 hash in hexadecimal digits");
    }

    /**
     * Returns whether a request is no longer run.
     *
     * @param record the upstreams that ended under it
     * @return whether there are as many as put it into quarantine
     */
    public boolean isQuarantined(CrashRecord record) {
        return record.ended().size() >= crashes;
    }

    /**
     * Returns whether the next end puts a request into quarantine.
     *
     * @param record the upstreams that ended under it
     * @return whether it does, or has been put there
     */
    public boolean isNearThreshold(CrashRecord record) {
        return record.ended().size() >= crashes - 1;
    }

    /**
     * Returns for how long a request is remembered, from the last word of it.
     *
     * @param record the upstreams that ended under it
     * @return milliseconds
     */
    public long retentionMillis(CrashRecord record) {
        return isQuarantined(record) ? heldMillis() : SUSPECT_MILLIS;
    }

    /**
     * Returns for how long a request stays in quarantine.
     *
     * @return milliseconds
     */
    long heldMillis() {
        return TimeUnit.SECONDS.toMillis(seconds);
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
