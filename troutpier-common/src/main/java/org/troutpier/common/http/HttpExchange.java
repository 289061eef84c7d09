package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * One request and the way to answer it. Confined to the connection's event loop: every method but
 * {@link #loop()} is called there. Invariant: at most one answer is begun and at most one ended.
 */
public final class HttpExchange {

    /** The connection. */
    private final Channel mChannel;

    /** The request's method. */
    private final String mMethod;

    /** The request's path and query. */
    private final QueryStringDecoder mUri;

    /** The request's path and query as sent. */
    private final String mTarget;

    /** The request's headers. */
    private final HttpHeaders mHeaders;

    /** The request's body. */
    private final byte[] mBody;

    /** Whether the caller lets the connection stay open after the answer. */
    private final boolean mKeepAlive;

    /** Tells whether the server ends each connection with its next answer. */
    private final BooleanSupplier mDraining;

    /** Whether the answer that was begun is the last one of its connection. */
    private boolean mLastOfConnection;

    /** Whether an answer was begun. */
    private boolean mBegun;

    /** Whether the answer was ended or cut. */
    private boolean mEnded;

    /** Runs when the caller goes before the answer is ended. */
    private Runnable mOnGone = () -> {};

    /** Runs when the connection takes more again. */
    private Runnable mOnWritable = () -> {};

    /** Runs once when the last byte has left or the connection is closed. */
    private final Runnable mOnFlushed;

    /**
     * Creates an exchange.
     *
     * @param channel the connection
     * @param method the request's method
     * @param uri the request's path and query
     * @param headers the request's headers
     * @param body the request's body
     * @param keepAlive whether the caller lets the connection stay open after the answer
     * @param draining tells whether the server ends each connection with its next answer
     * @param onFlushed runs once when the last byte has left or the connection is closed
     */
    HttpExchange(
            Channel channel,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            boolean keepAlive,
            BooleanSupplier draining,
            Runnable onFlushed) {
        mChannel = channel;
        mMethod = method;
        mUri = new QueryStringDecoder(uri);
        mTarget = uri;
        mHeaders = headers;
        mBody = body;
        mKeepAlive = keepAlive;
        mDraining = draining;
        mOnFlushed = onFlushed;
    }

    /**
     * Returns the method.
     *
     * @return the method, in upper case
     */
    public String method() {
        return mMethod;
    }

    /**
     * Returns the decoded path.
     *
     * @return the path without the query
     */
    public String path() {
        return mUri.path();
    }

    /**
     * Returns the path as sent, still encoded.
     *
     * @return the path without the query
     */
    public String rawPath() {
        return mUri.rawPath();
    }

    /**
     * Returns the path and query as sent, still encoded.
     *
     * @return the request target
     */
    public String target() {
        return mTarget;
    }

    /**
     * Returns the query as sent, still encoded.
     *
     * @return the query, empty for none
     */
    public String rawQuery() {
        return mUri.rawQuery();
    }

    /**
     * Returns a query parameter.
     *
     * @param name the parameter
     * @return its first value, empty for none
     */
    public String query(String name) {
        return mUri.parameters().getOrDefault(name, List.of("")).get(0);
    }

    /**
     * Returns a header.
     *
     * @param name the header
     * @return its value, or null
     */
    public String header(CharSequence name) {
        return mHeaders.get(name);
    }

    /**
     * Returns the headers.
     *
     * @return the headers, not to be changed
     */
    public HttpHeaders headers() {
        return mHeaders;
    }

    /**
     * Returns the body.
     *
     * @return the body, not to be changed
     */
    public byte[] body() {
        return mBody;
    }

    /**
     * Returns the event loop that this exchange belongs to; may be called from any thread.
     *
     * @return the loop
     */
    public EventLoop loop() {
        return mChannel.eventLoop();
    }

    /**
     * Returns whether an answer was begun.
     *
     * @return whether the status has left
     */
    public boolean hasBegun() {
        return mBegun;
    }

    /**
     * Returns whether the answer was ended or cut, or the caller is gone.
     *
     * @return whether nothing more can be said
     */
    public boolean isOver() {
        return mEnded || !mChannel.isActive();
    }

    /**
     * Returns whether the connection takes more without growing its buffer past the mark.
     *
     * @return whether to write on
     */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Returns how much waits to be sent.
     *
     * @return bytes in the connection's buffer
     */
    public long pendingBytes() {
        return mChannel.unsafe().outboundBuffer() == null
                ? 0
                : mChannel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }

    /**
     * Sets what runs when the caller goes before the answer is ended.
     *
     * @param action the action
     */
    public void onDisconnect(Runnable action) {
        mOnGone = action;
    }

    /**
     * Sets what runs when the connection takes more again.
     *
     * @param action the action
     */
    public void onWritable(Runnable action) {
        mOnWritable = action;
    }

    /**
     * Sends a whole answer.
     *
     * @param answer the answer; ownership passes here
     */
    public void answer(FullHttpResponse answer) {
        if (mBegun || isOver()) {
            answer.release();
            return;
        }
        mBegun = true;
        mEnded = true;
        setConnection(answer);
        finish(answer);
    }

    /**
     * Begins a streamed answer.
     *
     * @param status the HTTP status
     * @param headers the headers; chunked unless they give a length
     */
    public void begin(int status, HttpHeaders headers) {
        if (mBegun || isOver()) {
            return;
        }
        mBegun = true;
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnection(head);
        mChannel.writeAndFlush(head, mChannel.voidPromise());
    }

    /**
     * Writes a part of a streamed answer. The bytes are copied once, into the memory that the
     * socket takes them from.
     *
     * @param part the part
     */
    public void write(byte[] part) {
        if (!mBegun || isOver()) {
            return;
        }
        ByteBuf buffer = mChannel.alloc().ioBuffer(part.length).writeBytes(part);
        mChannel.writeAndFlush(new DefaultHttpContent(buffer), mChannel.voidPromise());
    }

    /** Ends a streamed answer whole. */
    public void end() {
        if (!mBegun || isOver()) {
            return;
        }
        mEnded = true;
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Cuts a streamed answer: the connection closes without the end, so the caller can tell. */
    public void abort() {
        if (!mEnded) {
            mEnded = true;
            mChannel.close().addListener(closed -> mOnFlushed.run());
        }
    }

    /**
     * Sends the last message of an answer. While the server drains the connection ends with it,
     * also where the head could not say so yet: a request that came on it now would be cut with the
     * process.
     *
     * @param message the message
     */
    private void finish(Object message) {
        ChannelFuture written = mChannel.writeAndFlush(message);
        written.addListener(done -> mOnFlushed.run());
        if (mLastOfConnection || mDraining.getAsBoolean()) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Tells the caller whether the connection stays open after this answer.
     *
     * @param answer the answer's head
     */
    private void setConnection(HttpMessage answer) {
        mLastOfConnection = !mKeepAlive || mDraining.getAsBoolean();
        HttpUtil.setKeepAlive(answer, !mLastOfConnection);
    }

    /** Called when the connection has closed. */
    void handleClose() {
        if (!mEnded) {
            mEnded = true;
            mOnFlushed.run();
            mOnGone.run();
        }
    }

    /** Called when the connection takes more again. */
    void handleWritable() {
        mOnWritable.run();
    }
}
