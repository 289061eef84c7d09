package org.troutpier.daemon.quarantine;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;
import org.troutpier.common.settings.Check;

/**
 * Names what a request asks for, whoever sends it, as whichever try and to whichever router: two
 * requests with the same host, path, query and body have the same fingerprint. Immutable and thread
 * safe. Nothing of the request can be read from it.
 *
 * @param value the first {@value #BYTES} bytes of a SHA-256 hash in hexadecimal digits: nobody can
 *     make a request that is taken for another's
 */
public record RequestFingerprint(@JsonValue String value) {

    /** How many bytes of the hash are kept: enough that no two requests meet by chance. */
    static final int BYTES = 16;

    /** How many digits name a fingerprint in lines for people. */
    private static final int SHORT_DIGITS = 8;

    /** What a value looks like. */
    private static final Pattern DIGITS = Pattern.compile("[0-9a-f]{" + 2 * BYTES + "}");

    /**
     * Checks the value.
     *
     * @param value the hash
     * @throws IllegalArgumentException if it is no hash
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestFingerprint {
        boolean hash = value != null && DIGITS.matcher(value).matches();
        Check.that("fingerprint", hash, "must have " + 2 * BYTES + " hexadecimal digits");
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param host the host asked for
     * @param target path and query, as sent
     * @param body the body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String host, String target, byte[] body) {
        MessageDigest digest = digest();
        digest.update(host.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(target.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        byte[] hash = digest.digest(body);
        return new RequestFingerprint(HexFormat.of().formatHex(hash, 0, BYTES));
    }

    /**
     * Makes the hash function.
     *
     * @return the function, in its first state
     */
    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }

    /**
     * Returns the name in lines for people.
     *
     * @return the first digits
     */
    public String shortName() {
        return value.substring(0, SHORT_DIGITS);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return shortName();
    }
}
