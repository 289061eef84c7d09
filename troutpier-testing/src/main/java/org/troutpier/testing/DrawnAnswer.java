package org.troutpier.testing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * An HTTP/1.1 answer that was drawn from the grammar, with at most one rule broken. Immutable and
 * thread safe as long as its collections are.
 *
 * @param text the whole answer, a character for each byte
 * @param status the status that it gives
 * @param fields the fields that it carries besides those of the framing
 * @param body the body without its framing
 * @param broken the rule that is broken; empty if the answer is sound
 */
public record DrawnAnswer(
        String text, int status, Map<String, String> fields, String body, String broken) {

    private static final String TOKEN = "abcXYZ019!#$%&'*+-.^_`|~";

    private static final String VALUE = TOKEN + "\u0080\u00ff\"(),/:;<=>?@[]{}\\";

    private static final String[] BROKEN_STATUS_LINES = {
        "HTTP/1.1 000 No", "HTTP/1.1 099 No", "HTTP/1.1 600 No", "HTTP/1.1 0200 OK",
        "HTTP/1.1 20 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK",
        "HTTP/1.1 200 O\u0001", "HTTP/1.1\t200 OK"
    };

    private static final String NAME_BREAKERS = " \t\u0000\u0001\r\u007f\u0080(";

    private static final String VALUE_BREAKERS = "\u0000\u0001\u000b\r\u007f";

    private static final String SIZE_BREAKERS = "\u0000x-\u0080";

    /**
     * Draws an answer with the status 200.
     *
     * @param required fields that it carries in any case
     * @param sound whether no rule is broken
     */
    public static DrawnAnswer draw(Random random, Map<String, String> required, boolean sound) {
        Map<String, String> fields = new LinkedHashMap<>(required);
        for (int count = random.nextInt(4); count > 0; count--) {
            fields.put("x" + text(random, TOKEN), text(random, VALUE));
        }
        boolean chunked = random.nextBoolean();
        String body = text(random, VALUE);
        Map<String, String> head = new LinkedHashMap<>(fields);
        head.put(
                chunked ? "Transfer-Encoding" : "Content-Length",
                chunked ? "chunked" : String.valueOf(body.length()));
        List<String> lines = new ArrayList<>();
        lines.add("HTTP/1.1 200" + (random.nextBoolean() ? " " + text(random, VALUE) : ""));
        head.forEach((name, value) -> lines.add(name + ":" + value));
        String size = Integer.toHexString(body.length());
        String trailer = "x" + text(random, TOKEN) + ":" + text(random, VALUE);
        String broken = "";
        if (!sound) {
            int line = 1 + random.nextInt(lines.size() - 1);
            int colon = lines.get(line).indexOf(':');
            switch (random.nextInt(chunked ? 6 : 4)) {
                case 0 -> {
                    broken = "status line";
                    lines.set(0, BROKEN_STATUS_LINES[random.nextInt(BROKEN_STATUS_LINES.length)]);
                }
                case 1 -> {
                    broken = "name";
                    lines.set(line, insert(random, NAME_BREAKERS, lines.get(line), 0, colon));
                }
                case 2 -> {
                    broken = "value";
                    String field = lines.get(line);
                    lines.set(
                            line, insert(random, VALUE_BREAKERS, field, colon + 1, field.length()));
                }
                case 3 -> {
                    broken = "colon";
                    lines.set(line, lines.get(line).replace(':', ' '));
                }
                case 4 -> {
                    broken = "chunk size";
                    size = insert(random, SIZE_BREAKERS, size, 0, size.length());
                }
                default -> {
                    broken = "trailer";
                    trailer = insert(random, NAME_BREAKERS, trailer, 0, trailer.indexOf(':'));
                }
            }
        }
        lines.add("");
        if (chunked) {
            lines.addAll(List.of(size, body, "0", trailer, "", ""));
        } else {
            lines.add(body);
        }
        return new DrawnAnswer(String.join("\r\n", lines), 200, fields, body, broken);
    }

    private static String text(Random random, String characters) {
        StringBuilder text = new StringBuilder();
        for (int count = 1 + random.nextInt(8); count > 0; count--) {
            text.append(characters.charAt(random.nextInt(characters.length())));
        }
        return text.toString();
    }

    /** Inserts one of several characters between two positions of a text. */
    private static String insert(Random random, String breakers, String text, int from, int to) {
        char breaker = breakers.charAt(random.nextInt(breakers.length()));
        return new StringBuilder(text)
                .insert(from + random.nextInt(to - from + 1), breaker)
                .toString();
    }
}
