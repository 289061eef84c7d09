package org.troutpier.daemon.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.function.Consumer;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.serving.UpstreamPort.ProbeResult;

/**
 * Probes whether connections are accepted at an address, by opening one and closing it again.
 * Immutable and thread safe.
 */
public final class ConnectionProbe {

    /** Time limit of a connection attempt. A reachable machine answers within one round trip. */
    private static final int TIMEOUT_MILLIS = 300;

    private final EventLoop mLoop;

    private final Consumer<Channel> mInitializer;

    /**
     * Creates a probe.
     *
     * @param initializer is passed each connection before it is opened, to add handlers
     */
    ConnectionProbe(EventLoop loop, Consumer<Channel> initializer) {
        mLoop = loop;
        mInitializer = initializer;
    }

    /**
     * Probes an address.
     *
     * @param listener receives the result, on the event loop
     */
    public void probe(Address address, Consumer<ProbeResult> listener) {
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                mInitializer.accept(channel);
                            }
                        })
                .connect(address.socket())
                .addListener((ChannelFuture connection) -> listener.accept(result(connection)));
    }

    /** Closes the connection and returns what the attempt to open it shows. */
    private static ProbeResult result(ChannelFuture connection) {
        connection.channel().close();
        if (connection.isSuccess()) {
            return ProbeResult.LISTENING;
        }
        boolean timedOut = connection.cause() instanceof ConnectTimeoutException;
        boolean refused = connection.cause() instanceof ConnectException && !timedOut;
        return refused ? ProbeResult.NOT_LISTENING : ProbeResult.UNKNOWN;
    }
}
