package org.troutpier.daemon.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.troutpier.common.http.Json;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * One event of a decode stream. Thread safe, provided that nobody modifies the bytes.
 *
 * @param bytes the event as received, including the blank line that ends it
 * @param id the request id in the event; null for the end mark
 * @param text the token's text; null for the end mark
 * @param done whether this is the end mark
 */
public record TokenEvent(byte[] bytes, String id, String text, boolean done) {

    private static final byte[] DATA_PREFIX = "data:".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] END_MARK = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private static final JsonFactory FACTORY = Json.mapper().getFactory();

    /**
     * Parses an event.
     *
     * @param bytes the event as received
     * @return the event, or null for one without data
     */
    static TokenEvent parse(byte[] bytes) {
        if (!startsWith(bytes, 0, DATA_PREFIX)) {
            return null;
        }
        int start = DATA_PREFIX.length;
        while (start < bytes.length && bytes[start] == ' ') {
            start++;
        }
        if (startsWith(bytes, start, END_MARK)) {
            return new TokenEvent(bytes, null, null, true);
        }
        return parse(bytes, start);
    }

    /**
     * Parses the JSON of an event.
     *
     * @param bytes the event as received
     * @param start the offset of the JSON
     * @return the event
     */
    private static TokenEvent parse(byte[] bytes, int start) {
        String id = null;
        String text = null;
        try (JsonParser parser = FACTORY.createParser(bytes, start, bytes.length - start)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token == JsonToken.FIELD_NAME && parser.currentName().equals("id")) {
                    id = parser.nextTextValue();
                } else if (token == JsonToken.FIELD_NAME && parser.currentName().equals("text")) {
                    text = parser.nextTextValue();
                }
            }
        } catch (IOException exception) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED, "an event is not JSON", exception);
        }
        return new TokenEvent(bytes, id, text == null ? "" : text, false);
    }

    /** Returns whether an array contains a prefix at an offset. */
    private static boolean startsWith(byte[] bytes, int offset, byte[] prefix) {
        return bytes.length >= offset + prefix.length
                && Arrays.equals(bytes, offset, offset + prefix.length, prefix, 0, prefix.length);
    }
}
