package org.troutpier.common.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The syntax of the lines of an HTTP/1.1 response (RFC 9112). Lines are given without their end, a
 * character for each byte. Stateless and thread safe.
 */
final class ResponseSyntax {

    /** Visible characters, blanks, tabs and bytes beyond ASCII. */
    private static final String TEXT = "[\\t -~\\x80-\\xff]*";

    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[0-9] ([1-5][0-9]{2})( " + TEXT + ")?");

    private static final Pattern FIELD =
            Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\\t ]*(" + TEXT + ")");

    private static final Pattern CHUNK_SIZE =
            Pattern.compile("([0-9A-Fa-f]{1,15})[\\t ]*(;" + TEXT + ")?");

    private ResponseSyntax() {}

    /**
     * A field of a head or of trailers. Immutable and thread safe.
     *
     * @param value the value without blanks and tabs around it
     */
    record Field(String name, String value) {}

    /**
     * Returns the status that a status line gives.
     *
     * @throws MalformedResponseException if it is not a version 1.x, a blank and a status from 100
     *     to 599, with or without a reason of printable characters after another blank
     */
    static int status(String line) {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("status line", line);
        }
        return Integer.parseInt(matcher.group(1));
    }

    /**
     * Returns the field that a line holds. A blank between its name and the colon is not removed,
     * as a proxy could: readers disagree about such a line, and so about the length of a body.
     *
     * @throws MalformedResponseException if it is not a name of token characters that begins the
     *     line, a colon right after it, and a value without control characters
     */
    static Field field(String line) {
        Matcher matcher = FIELD.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("header field", line);
        }
        return new Field(matcher.group(1), matcher.group(2).strip());
    }

    /**
     * Returns the size that begins a chunk, bytes.
     *
     * @throws MalformedResponseException if the line is not a hexadecimal number, with or without
     *     extensions of printable characters
     */
    static long chunkSize(String line) {
        Matcher matcher = CHUNK_SIZE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("chunk size", line);
        }
        return Long.parseLong(matcher.group(1), 16);
    }
}
