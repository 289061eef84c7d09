package org.troutpier.common.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.LinkedHashMap;
import java.util.Map;
import org.troutpier.common.result.ResultCode;

/** Makes whole HTTP answers. Stateless and thread safe. */
public final class HttpResponses {

    /** Carries the result code's label. */
    public static final String CODE_HEADER = "Troutpier-Code";

    /** Carries what is known of the work. */
    public static final String FAMILY_HEADER = "Troutpier-Family";

    /** The content type of JSON. */
    public static final String JSON = "application/json";

    /** How many milliseconds a second has. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** Not to be instantiated. */
    private HttpResponses() {}

    /**
     * Makes a JSON answer.
     *
     * @param status the HTTP status
     * @param value what to write as JSON
     * @return the answer
     */
    public static FullHttpResponse json(int status, Object value) {
        return bytes(status, JSON, Json.bytes(value));
    }

    /**
     * Makes an answer.
     *
     * @param status the HTTP status
     * @param type the content type
     * @param body the body
     * @return the answer
     */
    public static FullHttpResponse bytes(int status, String type, byte[] body) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return answer;
    }

    /**
     * Makes the answer that tells a code.
     *
     * @param code the code
     * @param detail what exactly was wrong
     * @return the answer
     */
    public static FullHttpResponse refusal(ResultCode code, String detail) {
        return refusal(code, detail, code.retryAfterSeconds() * MILLIS_PER_SECOND);
    }

    /**
     * Makes the answer that tells a code and when to come back.
     *
     * @param code the code
     * @param detail what exactly was wrong
     * @param retryAfterMillis when to come back, milliseconds; 0 where coming back does not help
     * @return the answer
     */
    public static FullHttpResponse refusal(ResultCode code, String detail, long retryAfterMillis) {
        FullHttpResponse answer = json(code.httpStatus(), refusalBody(code, detail));
        answer.headers().set(CODE_HEADER, code.label());
        answer.headers().set(FAMILY_HEADER, code.family().label());
        if (retryAfterMillis > 0) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMillis));
        }
        return answer;
    }

    /**
     * Writes a time in seconds, whole where it is.
     *
     * @param millis the time, milliseconds
     * @return the seconds, with a fraction where there is one
     */
    private static String seconds(long millis) {
        return millis % MILLIS_PER_SECOND == 0
                ? Long.toString(millis / MILLIS_PER_SECOND)
                : Double.toString(millis / (double) MILLIS_PER_SECOND);
    }

    /**
     * Makes the JSON body that tells a code.
     *
     * @param code the code
     * @param detail what exactly was wrong
     * @return the body, as a tree of maps for the JSON library
     */
    public static Map<String, Object> refusalBody(ResultCode code, String detail) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", code.label());
        error.put("family", code.family().label());
        error.put("meaning", code.meaning());
        error.put("detail", detail);
        if (code.retryAfterSeconds() > 0) {
            error.put("retry_after_seconds", code.retryAfterSeconds());
        }
        return Map.of("error", error);
    }
}
