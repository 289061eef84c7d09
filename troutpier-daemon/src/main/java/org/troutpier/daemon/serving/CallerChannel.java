package org.troutpier.daemon.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.result.ResultCode;

/**
 * The response channel to one caller. Confined to the traffic loop. Invariant: at most one response
 * is started, and one that is not ended is never taken for complete by the caller.
 */
public interface CallerChannel {

    /** Sends a complete response of an upstream. */
    void sendResponse(int status, HttpHeaders headers, byte[] body);

    /**
     * Sends a refusal.
     *
     * @param retryAfterMillis after which time the caller should retry, milliseconds; 0 where a
     *     retry does not help
     */
    void refuse(ResultCode code, String detail, long retryAfterMillis);

    /** Starts a streamed response. */
    void beginStream(int status, HttpHeaders headers);

    /** Writes a part of the stream. */
    void write(byte[] part);

    /** Ends the stream as complete. */
    void endStream();

    /** Aborts the response in a way that the caller can detect. */
    void abort();

    /**
     * Returns whether the channel's output buffer is below its limit. No more is written while it
     * is not, so that the buffer does not grow for a caller that reads slowly.
     *
     * @return whether to continue to write
     */
    boolean isWritable();

    /** Sets the action that runs when the caller disconnects before the response has ended. */
    void onDisconnect(Runnable action);

    /** Sets the action that runs when the channel becomes writable again. */
    void onWritable(Runnable action);

    /** A caller on an HTTP exchange. Confined to the traffic loop. */
    final class ForHttp implements CallerChannel {

        private final HttpExchange mExchange;

        /** Creates a channel. */
        public ForHttp(HttpExchange exchange) {
            mExchange = exchange;
        }

        /** {@inheritDoc} */
        @Override
        public void sendResponse(int status, HttpHeaders headers, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            response.headers().set(headers);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            mExchange.answer(response);
        }

        /** {@inheritDoc} */
        @Override
        public void refuse(ResultCode code, String detail, long retryAfterMillis) {
            mExchange.answer(HttpResponses.refusal(code, detail, retryAfterMillis));
        }

        /** {@inheritDoc} */
        @Override
        public void beginStream(int status, HttpHeaders headers) {
            mExchange.begin(status, headers);
        }

        /** {@inheritDoc} */
        @Override
        public void write(byte[] part) {
            mExchange.write(part);
        }

        /** {@inheritDoc} */
        @Override
        public void endStream() {
            mExchange.end();
        }

        /** {@inheritDoc} */
        @Override
        public void abort() {
            mExchange.abort();
        }

        /** {@inheritDoc} */
        @Override
        public boolean isWritable() {
            return mExchange.isWritable();
        }

        /** {@inheritDoc} */
        @Override
        public void onDisconnect(Runnable action) {
            mExchange.onDisconnect(action);
        }

        /** {@inheritDoc} */
        @Override
        public void onWritable(Runnable action) {
            mExchange.onWritable(action);
        }
    }
}
