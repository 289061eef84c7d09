package org.troutpier.daemon.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.troutpier.common.http.Answers;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.result.ResultCode;

/**
 * The way to answer one caller. Confined to the traffic loop. Invariant: at most one answer is
 * begun, and one that is not ended never looks whole.
 */
public interface CallerChannel {

    /**
     * Sends a whole answer of an upstream.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    void sendResponse(int status, HttpHeaders headers, byte[] body);

    /**
     * Refuses.
     *
     * @param code why
     * @param detail what exactly
     * @param retryAfterMillis when to come back, milliseconds; 0 where it does not help
     */
    void refuse(ResultCode code, String detail, long retryAfterMillis);

    /**
     * Begins a stream.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void beginStream(int status, HttpHeaders headers);

    /**
     * Writes a part of a stream.
     *
     * @param part the bytes
     */
    void write(byte[] part);

    /** Ends a stream whole. */
    void endStream();

    /** Breaks the answer off so that the caller can tell. */
    void abort();

    /**
     * Returns whether the caller takes more without a growing buffer.
     *
     * @return whether to write on
     */
    boolean isWritable();

    /**
     * Sets what runs when the caller leaves before the answer is ended.
     *
     * @param action the action
     */
    void onDisconnect(Runnable action);

    /**
     * Sets what runs when the caller takes more again.
     *
     * @param action the action
     */
    void onWritable(Runnable action);

    /** A caller on an HTTP exchange. Confined to the traffic loop. */
    final class ForHttp implements CallerChannel {

        /** The exchange. */
        private final HttpExchange mExchange;

        /**
         * Creates a channel.
         *
         * @param exchange the exchange
         */
        public ForHttp(HttpExchange exchange) {
            mExchange = exchange;
        }

        /** {@inheritDoc} */
        @Override
        public void sendResponse(int status, HttpHeaders headers, byte[] body) {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            answer.headers().set(headers);
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            mExchange.answer(answer);
        }

        /** {@inheritDoc} */
        @Override
        public void refuse(ResultCode code, String detail, long retryAfterMillis) {
            mExchange.answer(Answers.refusal(code, detail, retryAfterMillis));
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
            mExchange.cut();
        }

        /** {@inheritDoc} */
        @Override
        public boolean isWritable() {
            return mExchange.writable();
        }

        /** {@inheritDoc} */
        @Override
        public void onDisconnect(Runnable action) {
            mExchange.onGone(action);
        }

        /** {@inheritDoc} */
        @Override
        public void onWritable(Runnable action) {
            mExchange.onWritable(action);
        }
    }
}
