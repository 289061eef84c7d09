package org.troutpier.common.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes tokens, so that declarations need not hold them. Stateless and thread safe. */
public final class Tokens {

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
