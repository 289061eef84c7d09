package org.troutpier.common.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

/**
 * Closes connections without the loss of output that was handed over before. Stateless; called on
 * the event loop of the connection.
 */
final class OrderlyClose {

    private OrderlyClose() {}

    /**
     * Closes a connection once its output has been written to the socket. Until then, {@link
     * IdleConnectionHandler} limits how long the client may take nothing.
     *
     * @return completes when the output was written or the connection was closed
     */
    static ChannelFuture afterOutput(Channel channel) {
        return channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(ChannelFutureListener.CLOSE);
    }
}
