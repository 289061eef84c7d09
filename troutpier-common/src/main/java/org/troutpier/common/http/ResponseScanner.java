package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Checks the bytes of the responses on a connection before they are decoded. The codec accepts any
 * number as a status, among other things, and nothing of that can be seen in what it decodes.
 * Confined to the connection's event loop. Invariant: at most one line is buffered, of {@link
 * ResponseLimiter#MAX_HEADER_BYTES} at most.
 */
final class ResponseScanner {

    /** What the next bytes belong to. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        /** A body, and whatever follows the response. */
        BODY
    }

    /** The start of a line whose end has not been received. */
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream(0);

    private Part mPart = Part.BODY;

    private int mStatus;

    /** Expects the response to a request that is being sent. */
    void begin() {
        mPart = Part.STATUS_LINE;
        mLine.reset();
    }

    /**
     * Checks bytes without consuming them.
     *
     * @throws MalformedResponseException if they can be no part of a response
     */
    void scan(ByteBuf bytes) {
        int index = bytes.readerIndex();
        while (mPart != Part.BODY && index < bytes.writerIndex()) {
            index = scanLine(bytes, index);
        }
    }

    /** Checks a line as far as it was received; returns the index of what follows it. */
    private int scanLine(ByteBuf bytes, int start) {
        int end = bytes.indexOf(start, bytes.writerIndex(), (byte) '\n');
        int stop = end < 0 ? bytes.writerIndex() : end;
        if (mLine.size() + stop - start > ResponseLimiter.MAX_HEADER_BYTES) {
            throw new MalformedResponseException(
                    "line of more than " + ResponseLimiter.MAX_HEADER_BYTES + " bytes",
                    mLine.toString(StandardCharsets.ISO_8859_1));
        }
        byte[] received = new byte[stop - start];
        bytes.getBytes(start, received);
        mLine.writeBytes(received);
        if (end < 0) {
            return stop;
        }
        String line = mLine.toString(StandardCharsets.ISO_8859_1);
        mLine.reset();
        onLine(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
        return end + 1;
    }

    private void onLine(String line) {
        if (mPart == Part.STATUS_LINE) {
            mStatus = ResponseSyntax.status(line);
            mPart = Part.FIELDS;
        } else if (line.isEmpty()) {
            mPart = isInterim() ? Part.STATUS_LINE : Part.BODY;
        }
    }

    /** Returns whether the response itself follows another head. */
    private boolean isInterim() {
        return HttpStatusClass.INFORMATIONAL.contains(mStatus);
    }
}
