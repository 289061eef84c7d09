package org.troutpier.common.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;

/** Hashes tokens, so that declarations need not hold them. Stateless and thread safe. */
public final class Tokens {

    /** What comes before a token in the authorization header. */
    private static final String BEARER = "Bearer ";

    /** What a hash looks like. */
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    /** Not to be instantiated. */
    private Tokens() {}

    /**
     * Hashes a token or any other text.
     *
     * @param text the text
     * @return its SHA-256 hash, hexadecimal
     */
    public static String hash(String text) {
        return hash(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns whether a text looks like a hash.
     *
     * @param text the text
     * @return whether it has the digits of one
     */
    public static boolean isHash(String text) {
        return HASH.matcher(text).matches();
    }

    /**
     * Returns the token that an authorization header carries. The scheme may be written in any
     * case, as the standard of HTTP authentication (RFC 9110) has it.
     *
     * @param authorization the header's value, or null
     * @return the token, if it carries one
     */
    public static Optional<String> parseBearer(String authorization) {
        boolean carries =
                authorization != null
                        && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
        return carries
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
