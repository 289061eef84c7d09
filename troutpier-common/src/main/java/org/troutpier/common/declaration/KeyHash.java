package org.troutpier.common.declaration;

/**
 * A caller's key as it is kept and compared: the key's SHA-256. Immutable and thread safe.
 * Invariant: the key itself cannot be had from it, and its text shows eight digits of the hash.
 *
 * @param value the hash, hexadecimal
 */
public record KeyHash(String value) {

    /** How many digits are shown, so that operators can tell two keys apart. */
    private static final int SHOWN_DIGITS = 8;

    /** Checks the hash. */
    public KeyHash {
        if (value == null || !Tokens.isHash(value)) {
            throw new IllegalArgumentException("a key's hash must be SHA-256, hexadecimal");
        }
    }

    /**
     * Hashes a key.
     *
     * @param key the key as its caller sends it
     * @return its hash
     */
    public static KeyHash of(String key) {
        return new KeyHash(Tokens.hash(key));
    }

    /**
     * Returns what may be shown of the key.
     *
     * @return the hash's first digits
     */
    public String fingerprint() {
        return value.substring(0, SHOWN_DIGITS);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "key " + fingerprint();
    }
}
