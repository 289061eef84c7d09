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
 * One event of a decode stream. Immutable by agreement: the bytes are not changed. Thread safe.
 *
 * @param bytes the event as it came, with the blank line that ends it
 * @param id the request that the engine says it is for; null for the end mark
 * @param text the token's text; null for the end mark
 * @param done whether this is the end mark
 */
public record TokenEvent(byte[] bytes, String id, String text, boolean done) {

    /** What starts the data of an event. */
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    /** The end mark. */
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    /** Makes parsers. */
    private static final JsonFactory FACTORY = Json.mapper().getFactory();

    /**
     * Reads an event.
     *
     * @param bytes the event as it came
     * @return the event, or null for one without data
     */
    static TokenEvent parse(byte[] bytes) {
        if (!startsWith(bytes, 0, DATA)) {
            return null;
        }
        int start = DATA.length;
        while (start < bytes.length && bytes[start] == ' ') {
            start++;
        }
        if (startsWith(bytes, start, DONE)) {
            return new TokenEvent(bytes, null, null, true);
        }
        return parse(bytes, start);
    }

    /**
     * Reads the JSON of an event.
     *
     * @param bytes the event as it came
     * @param start where the JSON starts
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

    /**
     * Returns whether bytes start with others.
     *
     * @param bytes the bytes
     * @param from where to look
     * @param start what to look for
     * @return whether it stands there
     */
    private static boolean startsWith(byte[] bytes, int from, byte[] start) {
        return bytes.length >= from + start.length
                && Arrays.equals(bytes, from, from + start.length, start, 0, start.length);
    }
}
