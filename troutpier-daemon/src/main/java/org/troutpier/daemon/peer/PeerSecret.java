package org.troutpier.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Proves knowledge of the shared secret by HMAC, without sending the secret. Thread safe. */
public final class PeerSecret {

    private static final String ALGORITHM = "HmacSHA256";

    private static final int NONCE_BYTES = 16;

    private final byte[] mSecret;

    private final SecureRandom mRandom = new SecureRandom();

    /** Creates a secret. */
    public PeerSecret(String secret) {
        mSecret = secret.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a new random nonce. */
    String newNonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Computes the proof over some parts, in hexadecimal digits. */
    String computeProof(String... parts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(mSecret, ALGORITHM));
            for (String part : parts) {
                mac.update(part.getBytes(StandardCharsets.UTF_8));
                mac.update((byte) 0);
            }
            return HexFormat.of().formatHex(mac.doFinal());
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException("algorithm not available: " + ALGORITHM, exception);
        }
    }

    /**
     * Verifies a proof in constant time.
     *
     * @param proof the proof; may be null
     * @param parts the parts that the proof must cover
     * @return whether the proof was computed with the same secret
     */
    boolean verify(String proof, String... parts) {
        return MessageDigest.isEqual(
                computeProof(parts).getBytes(StandardCharsets.UTF_8),
                String.valueOf(proof).getBytes(StandardCharsets.UTF_8));
    }
}
