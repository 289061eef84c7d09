package org.troutpier.common.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Reads YAML into records with strict validation. Thread safe: the mapper is never changed after
 * construction.
 */
public final class CheckedYaml {

    /** Rejects unknown, missing, null and wrongly typed fields. */
    private static final YAMLMapper MAPPER =
            YAMLMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .build();

    private CheckedYaml() {}

    /**
     * Reads a file.
     *
     * @param <T> the record's type
     */
    public static <T> T read(Path file, Class<T> type) {
        try {
            return parse(file.getFileName().toString(), Files.readString(file), type);
        } catch (IOException exception) {
            throw new TroutpierException(
                    ResultCode.INVALID_DECLARATION, file + ": cannot be read", exception);
        }
    }

    /**
     * Reads a text.
     *
     * @param name what the text is called in error messages
     * @param <T> the record's type
     */
    public static <T> T parse(String name, String text, Class<T> type) {
        try {
            requireKnownFields(name, text, type);
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw fault(name, 1, "", "the file is empty");
            }
            return value;
        } catch (JsonMappingException exception) {
            throw toTroutpierException(name, text, exception);
        } catch (JsonProcessingException exception) {
            throw fault(name, line(exception), "", exception.getOriginalMessage());
        }
    }

    /**
     * Checks that every field is known, so that the error names a misspelt field rather than the
     * one that is missing because of it.
     *
     * @throws JsonProcessingException when the text is no YAML
     */
    private static void requireKnownFields(String name, String text, Class<?> type)
            throws JsonProcessingException {
        Optional<String> unknown = unknownField(MAPPER.readTree(text), type, "");
        if (unknown.isPresent()) {
            int line = Math.max(1, lineOf(text, "/" + unknown.get()));
            throw fault(name, line, unknown.get(), "is not a known field");
        }
    }

    /**
     * Finds the first field that the type does not have.
     *
     * @param path the path of the node; empty, or with a slash at its end
     * @return the path of the first unknown field
     */
    private static Optional<String> unknownField(JsonNode node, Type type, String path) {
        if (type instanceof ParameterizedType list && node.isArray()) {
            Type element = list.getActualTypeArguments()[0];
            for (int index = 0; index < node.size(); index++) {
                Optional<String> found = unknownField(node.get(index), element, path + index + "/");
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        if (!(type instanceof Class<?> record) || !record.isRecord() || !node.isObject()) {
            return Optional.empty();
        }
        Map<String, Type> components = new HashMap<>();
        for (RecordComponent component : record.getRecordComponents()) {
            components.put(component.getName(), component.getGenericType());
        }
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String here = path + field.getKey();
            Type component = components.get(field.getKey());
            Optional<String> found =
                    component == null
                            ? Optional.of(here)
                            : unknownField(field.getValue(), component, here + "/");
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    /** Converts a mapping exception into one with file, line and field. */
    private static TroutpierException toTroutpierException(
            String name, String text, JsonMappingException exception) {
        String path =
                exception.getPath().stream()
                        .map(r -> r.getFieldName() == null ? "" + r.getIndex() : r.getFieldName())
                        .collect(Collectors.joining("/"));
        if (exception.getCause() instanceof FieldException field) {
            String fullPath = path.isEmpty() ? field.field() : path + "/" + field.field();
            int line = lineOf(text, "/" + fullPath);
            int shown = line > 0 ? line : Math.max(1, lineOf(text, "/" + path));
            return fault(name, shown, fullPath, field.getMessage());
        }
        String message = message(exception);
        int line = lineOf(text, "/" + path);
        return fault(name, line > 0 ? line : line(exception), path, message);
    }

    /** Returns the error in terms of a settings file instead of Java types. */
    private static String message(JsonMappingException exception) {
        if (exception instanceof UnrecognizedPropertyException) {
            return "is not a known field";
        }
        String original = exception.getOriginalMessage();
        if (original.startsWith("Cannot map `null`")) {
            return "is missing";
        }
        return original.replaceAll("^Cannot deserialize value of type `[^`]*` from ", "cannot be ")
                .replace("accepted for Enum class: ", "");
    }

    /**
     * Makes the exception.
     *
     * @param line the line, from 1
     */
    private static TroutpierException fault(String name, int line, String field, String message) {
        String where = field.isEmpty() ? "" : " field " + field.replace('/', '.');
        return new TroutpierException(
                ResultCode.INVALID_DECLARATION, name + ":" + line + ":" + where + ": " + message);
    }

    /**
     * Returns the line of a parser error.
     *
     * @return the line, from 1
     */
    private static int line(JsonProcessingException exception) {
        return exception.getLocation() == null ? 1 : exception.getLocation().getLineNr();
    }

    /**
     * Finds the line of a field.
     *
     * @param pointer the field as a JSON pointer
     * @return the line from 1, or 0 if the field is absent
     */
    private static int lineOf(String text, String pointer) {
        try (JsonParser parser = MAPPER.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (parser.getParsingContext().pathAsPointer().toString().equals(pointer)) {
                    return parser.currentTokenLocation().getLineNr();
                }
            }
        } catch (IOException exception) {
            return 0;
        }
        return 0;
    }
}
