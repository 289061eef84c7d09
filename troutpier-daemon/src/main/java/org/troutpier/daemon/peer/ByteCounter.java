package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of frames, both ways. Confined to one connection's event loop. */
final class ByteCounter extends ChannelDuplexHandler {

    /** The counter. */
    private final Counter mBytes;

    /**
     * Creates a counter.
     *
     * @param bytes where to count
     */
    ByteCounter(Counter bytes) {
        mBytes = bytes;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        count(message);
        context.fireChannelRead(message);
    }

    /** {@inheritDoc} */
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        count(message);
        context.write(message, promise);
    }

    /**
     * Counts a frame.
     *
     * @param message the frame
     */
    private void count(Object message) {
        if (message instanceof ByteBuf frame) {
            mBytes.inc(frame.readableBytes());
        }
    }
}
