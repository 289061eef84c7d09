package org.troutpier.common.eventstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The lines of a server-sent event up to and including the blank line that ends it; these may be
 * comments only. Thread safe, provided that nobody modifies the bytes.
 */
public final class ServerSentEvent {

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private static final String ID = "id";

    private static final String DATA = "data";

    private final byte[] mBytes;

    /** Where the first line starts, after a byte order mark. */
    private final int mStart;

    private ServerSentEvent(byte[] bytes, int start) {
        mBytes = bytes;
        mStart = start;
    }

    /**
     * Creates an event.
     *
     * @param bytes its lines, including the blank line
     * @param first whether it is the first of its stream, which may start with a byte order mark
     */
    static ServerSentEvent of(byte[] bytes, boolean first) {
        int markLength = BYTE_ORDER_MARK.length;
        boolean marked =
                first
                        && bytes.length >= markLength
                        && Arrays.equals(bytes, 0, markLength, BYTE_ORDER_MARK, 0, markLength);
        return new ServerSentEvent(bytes, marked ? markLength : 0);
    }

    /** Returns the bytes as received. */
    public byte[] bytes() {
        return mBytes;
    }

    /** Returns the bytes as they may follow other events, without a byte order mark. */
    public byte[] bytesWithoutMark() {
        return mStart == 0 ? mBytes : Arrays.copyOfRange(mBytes, mStart, mBytes.length);
    }

    /** Returns whether the lines are comments or other lines that convey no event. */
    public boolean isComment() {
        return nextField(ID, mStart) < 0 && nextField(DATA, mStart) < 0;
    }

    /** Returns the event's id, if it has one; the last one if there are several. */
    public Optional<String> id() {
        List<String> ids = values(ID);
        return ids.isEmpty() ? Optional.empty() : Optional.of(ids.get(ids.size() - 1));
    }

    /** Returns the event's data, if it has any; several lines are joined with LF. */
    public Optional<String> data() {
        List<String> data = values(DATA);
        return data.isEmpty() ? Optional.empty() : Optional.of(String.join("\n", data));
    }

    /** Returns the values of all fields with a name, in order. */
    private List<String> values(String name) {
        List<String> values = new ArrayList<>(1);
        int line = nextField(name, mStart);
        while (line >= 0) {
            values.add(value(line + name.length(), lineEnd(line)));
            line = nextField(name, lineEnd(line) + 1);
        }
        return values;
    }

    /**
     * Returns where the next field with a name starts.
     *
     * @param from the start of a line
     * @return the offset; -1 if there is none
     */
    private int nextField(String name, int from) {
        for (int line = from; line < mBytes.length; line = lineEnd(line) + 1) {
            if (isField(name, line, lineEnd(line))) {
                return line;
            }
        }
        return -1;
    }

    /** Returns the offset of the first CR or LF from an offset on. */
    private int lineEnd(int from) {
        int end = from;
        while (mBytes[end] != '\n' && mBytes[end] != '\r') {
            end++;
        }
        return end;
    }

    /** Returns whether a line is a field with a name. */
    private boolean isField(String name, int from, int end) {
        int nameEnd = from + name.length();
        if (nameEnd > end || (nameEnd < end && mBytes[nameEnd] != ':')) {
            return false;
        }
        for (int at = 0; at < name.length(); at++) {
            if (mBytes[from + at] != name.charAt(at)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the value of a field: what follows the colon and at most one space. */
    private String value(int nameEnd, int end) {
        int from = Math.min(nameEnd + 1, end);
        if (from < end && mBytes[from] == ' ') {
            from++;
        }
        return new String(mBytes, from, end - from, StandardCharsets.UTF_8);
    }
}
