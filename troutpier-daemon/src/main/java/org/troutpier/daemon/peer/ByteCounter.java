package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of frames in both directions. Confined to the event loop of one connection. */
final class ByteCounter extends ChannelDuplexHandler {

    private final Counter mBytes;

    ByteCounter(Counter bytes) {
        mBytes = bytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        count(message);
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        count(message);
        context.write(message, promise);
    }

    private void count(Object message) {
        if (message instanceof ByteBuf frame) {
            mBytes.inc(frame.readableBytes());
        }
    }
}
