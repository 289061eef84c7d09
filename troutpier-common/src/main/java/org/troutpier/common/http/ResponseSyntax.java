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

    private ResponseSyntax() {}

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
}
