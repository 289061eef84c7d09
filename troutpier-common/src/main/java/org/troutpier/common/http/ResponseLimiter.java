package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Checks what a server sends on a connection, and bounds what is no part of a body. Confined to the
 * connection's event loop. Invariants:
 *
 * <ul>
 *   <li>A call fails at the first bytes that can be no part of a response; neither they nor any
 *       that follow are used.
 *   <li>Interim responses are not passed on: AsyncHttpClient takes one for the answer, or sends the
 *       request's body once more.
 *   <li>A call fails when more than {@link #MAX_FRAMING_BYTES} arrive without a head or a part of a
 *       body among them.
 *   <li>A connection is closed when bytes arrive on it while no answer is due, so that they are
 *       never attributed to the next call.
 * </ul>
 */
final class ResponseLimiter {

    /** The longest status line or chunk size line, bytes. */
    static final int MAX_LINE_BYTES = 4096;

    /** The longest headers or trailers, bytes. */
    static final int MAX_HEADER_BYTES = 8192;

    /** Size of the parts into which the codec splits a body, bytes. */
    static final int MAX_PART_BYTES = 8192;

    /**
     * The most bytes between two parts of an answer: a longest head, with as much again for interim
     * responses.
     */
    static final int MAX_FRAMING_BYTES = 2 * (MAX_LINE_BYTES + MAX_HEADER_BYTES);

    /** Whether a request was sent whose answer is not complete. */
    private boolean mAnswerDue;

    private final ResponseScanner mScanner = new ResponseScanner();

    /** Bytes received since the last head or part of a body. */
    private int mFramingBytes;

    private ResponseLimiter() {}

    /**
     * Adds the handlers around the codec.
     *
     * @param codec name of the HTTP codec in the pipeline
     */
    static void install(Channel connection, String codec) {
        ResponseLimiter limiter = new ResponseLimiter();
        connection.pipeline().addBefore(codec, null, limiter.new ByteFilter());
        connection.pipeline().addAfter(codec, null, limiter.new MessageFilter());
    }

    /** Checks and counts bytes before they are decoded. */
    private final class ByteFilter extends ChannelInboundHandlerAdapter {

        /** {@inheritDoc} */
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!mAnswerDue) {
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            ByteBuf bytes = (ByteBuf) message;
            try {
                mScanner.scan(bytes);
            } catch (MalformedResponseException exception) {
                mAnswerDue = false;
                bytes.release();
                context.fireExceptionCaught(exception);
                return;
            }
            mFramingBytes += bytes.readableBytes();
            context.fireChannelRead(message);
            if (mAnswerDue && mFramingBytes > MAX_FRAMING_BYTES) {
                context.fireExceptionCaught(
                        new TooLongFrameException(
                                "more than " + MAX_FRAMING_BYTES + " bytes without content"));
            }
        }
    }

    /** Follows requests and answers. */
    private final class MessageFilter extends ChannelDuplexHandler {

        /** Whether the message that is being received is an interim response. */
        private boolean mInterim;

        /** {@inheritDoc} */
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest request) {
                mAnswerDue = true;
                mFramingBytes = 0;
                mScanner.begin(request.method());
            }
            context.write(message, promise);
        }

        /** {@inheritDoc} */
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!mAnswerDue) {
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            if (message instanceof HttpResponse head) {
                mInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                    ReferenceCountUtil.release(message);
                    context.fireExceptionCaught(
                            new IllegalStateException("protocol switched without a request"));
                    return;
                }
            }
            if (mInterim) {
                ReferenceCountUtil.release(message);
                return;
            }
            boolean content = !(message instanceof HttpContent part) || part.content().isReadable();
            if (content) {
                mFramingBytes = 0;
            }
            if (message instanceof LastHttpContent) {
                mAnswerDue = false;
            }
            context.fireChannelRead(message);
        }
    }
}
