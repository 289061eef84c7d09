package org.troutpier.common.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.Message;

/**
 * Writes each event as one line of JSON: {@code at} (milliseconds of the wall clock), {@code
 * level}, {@code source}, {@code message} (an object where the event has named values, else text)
 * and {@code error} (the stack trace, where there is one). Thread safe. Replaces the library's
 * template layout, which took a quarter of the start-up time to read its template.
 */
public final class JsonLinesLayout extends AbstractStringLayout {

    private static final JsonFactory JSON = new JsonFactory();

    /** Creates a layout. */
    public JsonLinesLayout() {
        super(StandardCharsets.UTF_8);
    }

    /** {@inheritDoc} */
    @Override
    public String toSerializable(LogEvent event) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeNumberField("at", event.getInstant().getEpochMillisecond());
            json.writeStringField("level", event.getLevel().name());
            json.writeStringField("source", event.getLoggerName());
            json.writeFieldName("message");
            write(json, event.getMessage());
            if (event.getThrown() != null) {
                json.writeStringField("error", stackTrace(event.getThrown()));
            }
            json.writeEndObject();
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot write log line", exception);
        }
        return line.append('\n').toString();
    }

    /**
     * Writes a message.
     *
     * @param json where to
     * @throws IOException if it cannot be written
     */
    private static void write(JsonGenerator json, Message message) throws IOException {
        if (!(message instanceof MapMessage<?, ?> values)) {
            json.writeString(message.getFormattedMessage());
            return;
        }
        json.writeStartObject();
        for (Map.Entry<String, ?> value : values.getData().entrySet()) {
            json.writeStringField(value.getKey(), String.valueOf(value.getValue()));
        }
        json.writeEndObject();
    }

    /**
     * Returns a stack trace as text.
     *
     * @param thrown what was thrown
     * @return its lines, those of its causes included
     */
    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
