package org.troutpier.common.declaration;

/**
 * A caller's key as it is stored and compared: its SHA-256 hash. Immutable and thread safe.
 * Invariant: the key cannot be recovered from it, and {@link #toString()} shows only eight digits
 * of the hash.
 *
 * @param value the hash, hexadecimal
 */
public record KeyHash(String value) {

    /** Number of digits that are shown, enough for operators to tell keys apart. */
    private static final int SHOWN_DIGITS = 8;

    /** Checks the hash. */
    public KeyHash {
        if (value == null || !Tokens.isHash(value)) {
            throw new IllegalArgumentException("a key's hash must be SHA-256, hexadecimal");
        }
    }

    /** Hashes a key as its caller sends it. */
    public static KeyHash of(String key) {
        return new KeyHash(Tokens.hash(key));
    }

    /**
     * Returns the part of the hash that may be shown.
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

    /** {@inheritDoc} Written out, since the generated method is linked anew at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyHash that && value.equals(that.value);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
