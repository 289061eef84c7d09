package org.troutpier.common.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** Reads and writes JSON. Thread safe: the mapper is never changed after construction. */
public final class Json {

    /** The mapper; ignores unknown fields, since peers may add some. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private Json() {}

    /**
     * Returns the mapper.
     *
     * @return the mapper, not to be changed
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Writes a value. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new TroutpierException(
                    ResultCode.INTERNAL, "cannot write " + value.getClass(), exception);
        }
    }

    /**
     * Reads a value.
     *
     * @param <T> the value's type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new TroutpierException(ResultCode.MALFORMED_REQUEST, "the body is null");
            }
            return value;
        } catch (JsonProcessingException exception) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, exception.getOriginalMessage(), exception);
        } catch (IOException exception) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    String.valueOf(exception.getMessage()),
                    exception);
        }
    }
}
