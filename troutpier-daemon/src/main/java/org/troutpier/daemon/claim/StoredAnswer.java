package org.troutpier.daemon.claim;

import java.util.Map;
import org.troutpier.common.http.Json;

/**
 * A complete answer as stored for a claim. Immutable and thread safe. The names of the components
 * are stored.
 *
 * @param status HTTP status
 * @param headers headers to store
 * @param text text of a completion; null for a plain service
 * @param tokens number of tokens in the text
 * @param body body of a plain service's answer; null for a completion
 */
public record StoredAnswer(
        int status, Map<String, String> headers, String text, int tokens, byte[] body) {

    /** Decodes a stored answer from JSON. */
    public static StoredAnswer decode(byte[] bytes) {
        return Json.read(bytes, StoredAnswer.class);
    }

    /** Encodes the answer as JSON. */
    public byte[] encode() {
        return Json.bytes(this);
    }
}
