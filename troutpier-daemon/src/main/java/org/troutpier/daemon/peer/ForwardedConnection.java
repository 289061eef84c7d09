package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the bytes of one connection on to another, and its end. Confined to the event loop of both
 * connections. Invariants: a connection is read only while the other one is writable; bytes for the
 * other router are framed, and only an upstream that closed its connection in order causes the
 * empty frame that marks the end, so that no loss on the way is taken for the end of an answer.
 * Whatever an upstream sent before its end or its failure is passed on.
 */
abstract class ForwardedConnection extends ChannelInboundHandlerAdapter {

    /** The connection to which bytes are written. */
    private final Channel mSink;

    private final Counter mBytes;

    /** Whether this connection failed, rather than being closed by its other end. */
    private boolean mReset;

    private ForwardedConnection(Channel sink, Counter bytes) {
        mSink = sink;
        mBytes = bytes;
    }

    /**
     * Joins two connections; each is closed with the other.
     *
     * @param bytes counts bytes in both directions
     */
    static void join(Channel router, Channel upstream, Counter bytes) {
        router.pipeline().addLast(new FromRouter(upstream, bytes));
        upstream.pipeline().addLast(new FromUpstream(router, bytes));
        router.config().setAutoRead(true);
        upstream.config().setAutoRead(true);
    }

    /** Writes bytes to the other connection. */
    protected abstract void write(Channel sink, ByteBuf bytes);

    /**
     * Called when this connection has ended.
     *
     * @param reset whether it failed rather than being closed by its other end
     */
    protected abstract void onEnd(Channel sink, boolean reset);

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (!mSink.isActive()) {
            ReferenceCountUtil.release(bytes);
            return;
        }
        mBytes.inc(bytes.readableBytes());
        write(mSink, bytes);
        if (!mSink.isWritable()) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** {@inheritDoc} This connection is writable again, so the other one is read again. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mSink.config().setAutoRead(context.channel().isWritable());
        context.fireChannelWritabilityChanged();
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onEnd(mSink, mReset);
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mReset = true;
        context.close();
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    /** The direction from the other router to the upstream. */
    private static final class FromRouter extends ForwardedConnection {

        FromRouter(Channel upstream, Counter bytes) {
            super(upstream, bytes);
        }

        /** {@inheritDoc} */
        @Override
        protected void write(Channel upstream, ByteBuf bytes) {
            upstream.writeAndFlush(bytes, upstream.voidPromise());
        }

        /** {@inheritDoc} */
        @Override
        protected void onEnd(Channel upstream, boolean reset) {
            upstream.close();
        }
    }

    /** The direction from the upstream to the other router. */
    private static final class FromUpstream extends ForwardedConnection {

        FromUpstream(Channel router, Counter bytes) {
            super(router, bytes);
        }

        /** {@inheritDoc} */
        @Override
        protected void write(Channel router, ByteBuf bytes) {
            ByteBuf length = router.alloc().ioBuffer(PeerFraming.LENGTH_FIELD_BYTES);
            router.write(length.writeInt(bytes.readableBytes()), router.voidPromise());
            router.writeAndFlush(bytes, router.voidPromise());
        }

        /** {@inheritDoc} */
        @Override
        protected void onEnd(Channel router, boolean reset) {
            ByteBuf end = reset ? Unpooled.EMPTY_BUFFER : Unpooled.copyInt(0);
            router.writeAndFlush(end).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
