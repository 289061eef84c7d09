package org.troutpier.common.http;

import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Thrown when what a server sends breaks the syntax of HTTP/1.1, so that it is no response.
 * Immutable and thread safe.
 */
final class MalformedResponseException extends TroutpierException {

    private static final long serialVersionUID = 1L;

    /** The most characters of a line that are quoted. */
    private static final int MAX_QUOTED = 64;

    private final String mQuote;

    /**
     * Creates an exception.
     *
     * @param rule the rule that is broken
     * @param line the line that breaks it, a character for each byte
     */
    MalformedResponseException(String rule, String line) {
        super(ResultCode.UPSTREAM_FAILED, "malformed response: " + rule);
        mQuote = quote(line);
    }

    /** Returns the start of the offending line, with all but printable ASCII escaped. */
    String quote() {
        return mQuote;
    }

    private static String quote(String line) {
        StringBuilder quote = new StringBuilder();
        line.chars()
                .limit(MAX_QUOTED)
                .forEach(
                        value -> {
                            if (value < ' ' || value > '~' || value == '\\' || value == '"') {
                                quote.append(String.format("\\x%02x", value));
                            } else {
                                quote.append((char) value);
                            }
                        });
        return line.length() > MAX_QUOTED ? quote + "..." : quote.toString();
    }
}
