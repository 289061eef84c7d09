package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpContent;
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
 *       body among them, or when the framing of chunks exceeds their content by far.
 *   <li>The parts of a body that arrive together are passed on together, and a connection that
 *       always has more to read delays the others by one read: parts of a few bytes would otherwise
 *       keep the event loop busy for seconds.
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

    /** Size below which the parts of one read are joined, bytes. */
    private static final int SMALL_PART_BYTES = 512;

    /** The most bytes that are read from a connection before others are served. */
    private static final int MAX_READ_BYTES = 8192;

    /** The size of the first read, bytes. */
    private static final int FIRST_READ_BYTES = 2048;

    /**
     * The most bytes between two parts of an answer: a longest head, with as much again for interim
     * responses. Also the most by which the framing of successive chunks may exceed their content,
     * which chunks of five bytes and more never reach, and single bytes after 6 KB.
     */
    static final int MAX_FRAMING_BYTES = 2 * (MAX_LINE_BYTES + MAX_HEADER_BYTES);

    /** Whether a request was sent whose answer is not complete. */
    private boolean mAnswerDue;

    private final ResponseScanner mScanner = new ResponseScanner();

    /** Bytes by which the framing of the last chunks exceeds their content. */
    private int mOverheadBytes;

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
        connection
                .config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                        FIRST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
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
            mOverheadBytes += bytes.readableBytes();
            context.fireChannelRead(message);
            if (mAnswerDue && mFramingBytes > MAX_FRAMING_BYTES) {
                fail(context, "more than " + MAX_FRAMING_BYTES + " bytes without content");
            } else if (mAnswerDue && mOverheadBytes > MAX_FRAMING_BYTES) {
                fail(context, "chunks with more framing than content");
            }
        }

        private void fail(ChannelHandlerContext context, String reason) {
            context.fireExceptionCaught(new TooLongFrameException(reason));
        }
    }

    /** Follows requests and answers. */
    private final class MessageFilter extends ChannelDuplexHandler {

        /** Whether the message that is being received is an interim response. */
        private boolean mInterim;

        /** The small parts of the current read, or null. */
        private ByteBuf mSmallParts;

        /** {@inheritDoc} */
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest request) {
                mAnswerDue = true;
                mFramingBytes = 0;
                mOverheadBytes = 0;
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
            } else if (message instanceof HttpContent part) {
                int bytes = part.content().readableBytes();
                // received bytes include the content, and each byte of content offsets one of
                // framing
                mOverheadBytes = Math.max(0, mOverheadBytes - 2 * bytes);
                if (bytes < SMALL_PART_BYTES) {
                    join(context, part);
                    return;
                }
            }
            passJoined(context);
            context.fireChannelRead(message);
        }

        /** Adds a part to the small ones before it. */
        private void join(ChannelHandlerContext context, HttpContent part) {
            if (mSmallParts == null) {
                mSmallParts = context.alloc().heapBuffer(SMALL_PART_BYTES);
            }
            mSmallParts.writeBytes(part.content());
            part.release();
            if (mSmallParts.readableBytes() >= MAX_PART_BYTES) {
                passJoined(context);
            }
        }

        private void passJoined(ChannelHandlerContext context) {
            if (mSmallParts != null) {
                HttpContent joined = new DefaultHttpContent(mSmallParts);
                mSmallParts = null;
                context.fireChannelRead(joined);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            passJoined(context);
            context.fireChannelReadComplete();
        }

        /** {@inheritDoc} */
        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            ReferenceCountUtil.release(mSmallParts);
            mSmallParts = null;
        }
    }
}
