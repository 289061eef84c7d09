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

/** Builds complete HTTP responses. Stateless and thread safe. */
public final class HttpResponses {

    /** Header with the label of the result code. */
    public static final String CODE_HEADER = "Troutpier-Code";

    /** Header with the family of the result code, which tells whether the work was run. */
    public static final String FAMILY_HEADER = "Troutpier-Family";

    /** The content type of JSON. */
    public static final String JSON = "application/json";

    /** How many milliseconds a second has. */
    private static final long MILLIS_PER_SECOND = 1000;

    private HttpResponses() {}

    /** Builds a JSON response. */
    public static FullHttpResponse json(int status, Object value) {
        return bytes(status, JSON, Json.bytes(value));
    }

    /** Builds a response. */
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

    /** Builds an error response for a result code, with the code's own retry delay. */
    public static FullHttpResponse refusal(ResultCode code, String detail) {
        return refusal(code, detail, code.retryAfterSeconds() * MILLIS_PER_SECOND);
    }

    /**
     * Builds an error response for a result code with the given retry delay.
     *
     * @param retryAfterMillis the value of Retry-After, milliseconds; 0 for no such header
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
     * Formats a duration in seconds, as an integer where it is one and as a decimal fraction
     * otherwise.
     *
     * @param millis the time, milliseconds
     * @return the seconds, with a fraction where there is one
     */
    private static String seconds(long millis) {
        return millis % MILLIS_PER_SECOND == 0
                ? Long.toString(millis / MILLIS_PER_SECOND)
                : Double.toString(millis / (double) MILLIS_PER_SECOND);
    }

    /** Builds the JSON body of an error response. */
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
