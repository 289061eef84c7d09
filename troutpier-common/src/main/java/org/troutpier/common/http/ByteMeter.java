package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes of several connections, without those of the protocols below. Thread safe.
 * Invariant: bytes count as sent once they are passed to a connection, so those that wait for a
 * busy link are included.
 */
public final class ByteMeter {

    private final LongAdder mReceived = new LongAdder();

    private final LongAdder mSent = new LongAdder();

    /** Counts the bytes of a connection from now on; the handlers added before are not seen. */
    public void install(Channel channel) {
        channel.pipeline().addFirst(new Handler());
    }

    /** Returns the bytes received since the meter was created. */
    public long received() {
        return mReceived.sum();
    }

    /** Returns the bytes sent since the meter was created. */
    public long sent() {
        return mSent.sum();
    }

    /** Counts the bytes of one connection. Confined to its event loop. */
    private final class Handler extends ChannelDuplexHandler {

        /** {@inheritDoc} */
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                mReceived.add(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }

        /** {@inheritDoc} */
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                mSent.add(bytes.readableBytes());
            }
            context.write(message, promise);
        }
    }
}
