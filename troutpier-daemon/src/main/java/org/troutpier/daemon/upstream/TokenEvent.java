package org.troutpier.daemon.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import org.troutpier.common.eventstream.ServerSentEvent;
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

    private static final String END_MARK = "[DONE]";

    private static final JsonFactory FACTORY = Json.mapper().getFactory();

    /**
     * Parses an event.
     *
     * @return the token or end mark, or null for an event without data
     */
    static TokenEvent parse(ServerSentEvent event) {
        String data = event.data().map(String::strip).orElse("");
        if (data.isEmpty()) {
            return null;
        }
        if (data.startsWith(END_MARK)) {
            return new TokenEvent(event.bytes(), null, null, true);
        }
        return parse(event.bytes(), data);
    }

    /**
     * Parses the JSON of an event.
     *
     * @param bytes the event as received
     * @return the token
     */
    private static TokenEvent parse(byte[] bytes, String data) {
        String id = null;
        String text = null;
        try (JsonParser parser = FACTORY.createParser(data)) {
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
}
