package org.troutpier.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Proves that a router knows the shared secret without sending it. Thread safe. */
final class PeerSecret {

    /** How the proof is made. */
    private static final String ALGORITHM = "HmacSHA256";

    /** How many random bytes a nonce has. */
    private static final int NONCE_BYTES = 16;

    /** The secret. */
    private final byte[] mSecret;

    /** Draws the nonces. */
    private final SecureRandom mRandom = new SecureRandom();

    /**
     * Creates a prover.
     *
     * @param secret the secret from the settings
     */
    PeerSecret(String secret) {
        mSecret = secret.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Draws a nonce.
     *
     * @return a number that was not used before
     */
    String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Makes a proof.
     *
     * @param parts what it is over
     * @return the proof
     */
    String prove(String... parts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(mSecret, ALGORITHM));
            for (String part : parts) {
                mac.update(part.getBytes(StandardCharsets.UTF_8));
                mac.update((byte) 0);
            }
            return HexFormat.of().formatHex(mac.doFinal());
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, exception);
        }
    }

    /**
     * Checks a proof in constant time.
     *
     * @param proof the proof
     * @param parts what it must be over
     * @return whether it was made with the same secret
     */
    boolean proves(String proof, String... parts) {
        return MessageDigest.isEqual(
                prove(parts).getBytes(StandardCharsets.UTF_8),
                String.valueOf(proof).getBytes(StandardCharsets.UTF_8));
    }
}
