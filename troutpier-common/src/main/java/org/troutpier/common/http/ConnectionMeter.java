package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;

/**
 * Measures several connections: their bytes, without those of the protocols below, and how long
 * they take to open. Thread safe. Invariants: bytes count as sent once they are passed to a
 * connection, so those that wait for a busy link are included; the number of opening times that are
 * kept is bounded.
 */
public final class ConnectionMeter {

    private static final int MAX_CONNECTS = 256;

    private final LongAdder mReceived = new LongAdder();

    private final LongAdder mSent = new LongAdder();

    /** Guarded by itself. */
    private final List<Long> mConnectNanos = new ArrayList<>();

    /** Measures a connection from now on; handlers added later see what this one has measured. */
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

    /** Returns how long connections took that were opened since the last call, nanoseconds. */
    public List<Long> takeConnectNanos() {
        synchronized (mConnectNanos) {
            List<Long> taken = List.copyOf(mConnectNanos);
            mConnectNanos.clear();
            return taken;
        }
    }

    private void recordConnect(long nanos) {
        synchronized (mConnectNanos) {
            if (mConnectNanos.size() < MAX_CONNECTS) {
                mConnectNanos.add(nanos);
            }
        }
    }

    /** Measures one connection. Confined to its event loop. */
    private final class Handler extends ChannelDuplexHandler {

        /** {@inheritDoc} */
        @Override
        public void connect(
                ChannelHandlerContext context,
                SocketAddress remote,
                SocketAddress local,
                ChannelPromise promise) {
            long start = System.nanoTime();
            promise.addListener(
                    opened -> {
                        if (opened.isSuccess()) {
                            recordConnect(System.nanoTime() - start);
                        }
                    });
            context.connect(remote, local, promise);
        }

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
