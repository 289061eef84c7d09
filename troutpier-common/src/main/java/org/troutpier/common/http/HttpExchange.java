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
 * A request that was received, and the means to respond to it. Confined to the connection's event
 * loop: every method but {@link #loop()} is called there. Invariant: at most one response is
 * started and at most one completed.
 */
public final class HttpExchange {

    private final Channel mChannel;

    private final String mMethod;

    /** The request's path and query. */
    private final QueryStringDecoder mUri;

    /** The request's path and query as sent. */
    private final String mTarget;

    private final HttpHeaders mHeaders;

    private final byte[] mBody;

    private final boolean mKeepAlive;

    /** Whether the server is draining: each connection is then closed after its response. */
    private final BooleanSupplier mDraining;

    /** Whether the connection is closed after the response that was started. */
    private boolean mLastOfConnection;

    private boolean mStarted;

    /** Whether the response was completed or aborted, or the connection was closed. */
    private boolean mEnded;

    private Runnable mOnDisconnect = () -> {};

    private Runnable mOnWritable = () -> {};

    /** Runs once when the response is completely written or the connection is closed. */
    private final Runnable mOnFlushed;

    /**
     * Creates an exchange.
     *
     * @param uri the request's path and query
     * @param keepAlive whether the client allows keep-alive
     * @param draining whether the server closes each connection after its response
     * @param onFlushed runs once when the response is completely written or the connection is
     *     closed
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

    /** Returns the method. */
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

    /** Returns the path and query as sent, still encoded. */
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
     * @return its first value, empty for none
     */
    public String query(String name) {
        return mUri.parameters().getOrDefault(name, List.of("")).get(0);
    }

    /**
     * Returns a header.
     *
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

    /** Returns the event loop that this exchange belongs to; may be called from any thread. */
    public EventLoop loop() {
        return mChannel.eventLoop();
    }

    /**
     * Returns whether a response was started.
     *
     * @return whether the head was written
     */
    public boolean hasBegun() {
        return mStarted;
    }

    /**
     * Returns whether the response was completed or aborted, or the client has disconnected.
     *
     * @return whether nothing more can be sent
     */
    public boolean isOver() {
        return mEnded || !mChannel.isActive();
    }

    /**
     * Returns whether the connection is closed after this response.
     *
     * @return whether no other request of the connection may be handled
     */
    boolean isLastOfConnection() {
        return mLastOfConnection;
    }

    /**
     * Returns whether the connection's output buffer is below its high-water mark.
     *
     * @return whether to write on
     */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Returns the number of bytes in the connection's output buffer.
     *
     * @return bytes in the connection's buffer
     */
    public long pendingBytes() {
        return mChannel.unsafe().outboundBuffer() == null
                ? 0
                : mChannel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }

    /** Sets the action that runs when the client disconnects before the response is complete. */
    public void onDisconnect(Runnable action) {
        mOnDisconnect = action;
    }

    /** Sets the action that runs when the connection becomes writable again. */
    public void onWritable(Runnable action) {
        mOnWritable = action;
    }

    /**
     * Sends a complete response.
     *
     * @param answer the response; this method takes ownership
     */
    public void answer(FullHttpResponse answer) {
        if (mStarted || isOver()) {
            answer.release();
            return;
        }
        mStarted = true;
        mEnded = true;
        setConnection(answer);
        finish(answer);
    }

    /**
     * Starts a streamed response.
     *
     * @param headers the headers; chunked unless they give a length
     */
    public void begin(int status, HttpHeaders headers) {
        if (mStarted || isOver()) {
            return;
        }
        mStarted = true;
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnection(head);
        mChannel.writeAndFlush(head, mChannel.voidPromise());
    }

    /** Writes a part of a streamed response. The bytes are copied once, into a buffer for I/O. */
    public void write(byte[] part) {
        if (!mStarted || isOver()) {
            return;
        }
        ByteBuf buffer = mChannel.alloc().ioBuffer(part.length).writeBytes(part);
        mChannel.writeAndFlush(new DefaultHttpContent(buffer), mChannel.voidPromise());
    }

    /** Completes a streamed response. */
    public void end() {
        if (!mStarted || isOver()) {
            return;
        }
        mEnded = true;
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Aborts a streamed response: the connection is closed without the end of the body, so that the
     * client can detect it. The parts before are sent.
     */
    public void abort() {
        if (!mEnded) {
            mEnded = true;
            mLastOfConnection = true;
            OrderlyClose.afterOutput(mChannel).addListener(closed -> mOnFlushed.run());
        }
    }

    /**
     * Sends the last message of a response. While the server drains, the connection is closed after
     * it even if the head could not announce that: a request received on it now would be lost when
     * the process ends.
     */
    private void finish(Object message) {
        ChannelFuture written = mChannel.writeAndFlush(message);
        written.addListener(done -> mOnFlushed.run());
        mLastOfConnection |= mDraining.getAsBoolean();
        if (mLastOfConnection) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Sets the response's Connection header, which tells the client whether it stays open. */
    private void setConnection(HttpMessage answer) {
        mLastOfConnection = !mKeepAlive || mDraining.getAsBoolean();
        HttpUtil.setKeepAlive(answer, !mLastOfConnection);
    }

    /** Called when the connection has closed. */
    void handleClose() {
        if (!mEnded) {
            mEnded = true;
            mOnFlushed.run();
            mOnDisconnect.run();
        }
    }

    /** Called when the connection becomes writable again. */
    void handleWritable() {
        mOnWritable.run();
    }
}
