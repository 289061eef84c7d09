package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Checks the bytes of the responses on a connection before they are decoded. The codec accepts any
 * number as a status, ends the name of a field at the first blank and leaves out unknown transfer
 * codings, and nothing of that can be seen in what it decodes. Confined to the connection's event
 * loop. Invariant: at most one line is buffered, of {@link ResponseLimiter#MAX_HEADER_BYTES} at
 * most.
 */
final class ResponseScanner {

    /** What the next bytes belong to. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        CHUNK_SIZE,
        CHUNK,
        /** The line end after a chunk. */
        CHUNK_END,
        TRAILERS,
        /** A body that is not chunked, and whatever follows the response. */
        REST
    }

    /** Digits of a chunk's size of up to 4 GB. */
    private static final int MAX_ORDINARY_DIGITS = 8;

    /** The start of a line whose end has not been received. */
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream(0);

    private Part mPart = Part.REST;

    /** Whether the request is a HEAD request, whose response has no body. */
    private boolean mHeadOnly;

    private String mStatusLine;

    private int mStatus;

    private boolean mChunked;

    /** Bytes of the chunk that are not received yet. */
    private long mChunkBytes;

    /**
     * Expects the response to a request that is being sent.
     *
     * @param method the method of the request
     */
    void begin(HttpMethod method) {
        mHeadOnly = HttpMethod.HEAD.equals(method);
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
        while (mPart != Part.REST && index < bytes.writerIndex()) {
            index = mPart == Part.CHUNK ? skipChunk(bytes, index) : scanLine(bytes, index);
        }
    }

    /** Skips a chunk as far as it was received; returns the index of what follows it. */
    private int skipChunk(ByteBuf bytes, int start) {
        int skipped = (int) Math.min(mChunkBytes, bytes.writerIndex() - start);
        mChunkBytes -= skipped;
        if (mChunkBytes == 0) {
            mPart = Part.CHUNK_END;
        }
        return start + skipped;
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
        if (end >= 0 && mLine.size() == 0 && isOrdinaryChunkLine(bytes, start, end)) {
            return end + 1;
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

    /**
     * Processes a whole line of a chunk that has no extension, without a copy: a body may have as
     * many of them as bytes.
     *
     * @return whether the line is such a one
     */
    private boolean isOrdinaryChunkLine(ByteBuf bytes, int start, int end) {
        int stop = end > start && bytes.getByte(end - 1) == '\r' ? end - 1 : end;
        if (mPart == Part.CHUNK_END && stop == start) {
            mPart = Part.CHUNK_SIZE;
            return true;
        }
        if (mPart != Part.CHUNK_SIZE || stop == start || stop - start > MAX_ORDINARY_DIGITS) {
            return false;
        }
        long size = 0;
        for (int index = start; index < stop; index++) {
            int digit = Character.digit(bytes.getByte(index), 16);
            if (digit < 0) {
                return false;
            }
            size = 16 * size + digit;
        }
        onChunkSize(size);
        return true;
    }

    private void onChunkSize(long size) {
        mChunkBytes = size;
        mPart = size == 0 ? Part.TRAILERS : Part.CHUNK;
    }

    private void onLine(String line) {
        switch (mPart) {
            case STATUS_LINE -> {
                mStatusLine = line;
                mStatus = ResponseSyntax.status(line);
                mChunked = false;
                mPart = Part.FIELDS;
            }
            case FIELDS -> {
                if (line.isEmpty()) {
                    mPart = afterHead();
                } else {
                    onField(line, ResponseSyntax.field(line));
                }
            }
            case CHUNK_SIZE -> onChunkSize(ResponseSyntax.chunkSize(line));
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new MalformedResponseException("chunk without a line end", line);
                }
                mPart = Part.CHUNK_SIZE;
            }
            default -> {
                if (line.isEmpty()) {
                    mPart = Part.REST;
                } else {
                    ResponseSyntax.field(line);
                }
            }
        }
    }

    /**
     * Follows the transfer coding. Requests name none that is accepted, so any but chunked hides
     * where the body ends, or what it is.
     */
    private void onField(String line, ResponseSyntax.Field field) {
        if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(field.name())) {
            boolean valid =
                    HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(field.value())
                            && !mChunked
                            && !mStatusLine.startsWith("HTTP/1.0");
            if (!valid) {
                throw new MalformedResponseException("transfer coding", line);
            }
            mChunked = true;
        }
    }

    private Part afterHead() {
        if (HttpStatusClass.INFORMATIONAL.contains(mStatus)) {
            return Part.STATUS_LINE;
        }
        boolean bodiless =
                mHeadOnly
                        || mStatus == HttpResponseStatus.NO_CONTENT.code()
                        || mStatus == HttpResponseStatus.NOT_MODIFIED.code();
        return mChunked && !bodiless ? Part.CHUNK_SIZE : Part.REST;
    }
}
