package org.troutpier.common.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;

/** Hashes and parses tokens; declarations hold their hashes only. Stateless and thread safe. */
public final class Tokens {

    private static final String BEARER = "Bearer ";

    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    private Tokens() {}

    /**
     * Hashes a token or any other text.
     *
     * @return its SHA-256 hash, hexadecimal
     */
    public static String hash(String text) {
        return hash(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns whether a text has the form of a hash.
     *
     * @return whether it has the digits of one
     */
    public static boolean isHash(String text) {
        return HASH.matcher(text).matches();
    }

    /**
     * Returns the bearer token of an Authorization header. The scheme is case-insensitive (RFC
     * 9110).
     *
     * @param authorization the header's value, or null
     * @return the token, if it carries one
     */
    public static Optional<String> parseBearer(String authorization) {
        boolean hasBearer =
                authorization != null
                        && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
        return hasBearer
                ? Optional.of(authorization.substring(BEARER.length()).strip())
                : Optional.empty();
    }

    /**
     * Hashes bytes.
     *
     * @param bytes the bytes
     * @return their SHA-256 hash, hexadecimal
     */
    public static String hash(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }
}
