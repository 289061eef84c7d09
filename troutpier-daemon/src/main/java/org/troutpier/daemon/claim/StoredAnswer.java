package org.troutpier.daemon.claim;

import java.util.Map;
import org.troutpier.common.http.Json;

/**
 * A whole answer as it is kept. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param headers the headers worth keeping
 * @param text the text of a completion, or null for a plain service
 * @param tokens how many tokens the text has
 * @param body the body of a plain service's answer, or null for a completion
 */
public record StoredAnswer(
        int status, Map<String, String> headers, String text, int tokens, byte[] body) {

    /**
     * Reads a kept answer.
     *
     * @param bytes its bytes
     * @return the answer
     */
    public static StoredAnswer decode(byte[] bytes) {
        return Json.read(bytes, StoredAnswer.class);
    }

    /**
     * Writes the answer.
     *
     * @return its bytes
     */
    public byte[] encode() {
        return Json.bytes(this);
    }
}
