package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.ConnectException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.Node;

/**
 * Forwards connections of other routers to upstreams that those cannot reach. Thread safe; each
 * connection is confined to its event loop. Invariants: connections are only opened to upstreams
 * that this router lists and reaches itself, so that none is forwarded twice; the bytes buffered
 * for all of them are bounded.
 */
public final class ForwardingServer {

    /** Largest number of connections that are forwarded at the same time. */
    static final int MAX_CONNECTIONS = 128;

    /** Time limit for opening a connection to an upstream, milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    /**
     * Silence in both directions after which a connection is closed, milliseconds: its router may
     * have lost power. Longer than any upstream is expected to work without an event.
     */
    private static final int IDLE_MILLIS = 120_000;

    /** Buffered bytes of a direction above which, and below which, reading stops and resumes. */
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private static final Logger LOGGER = LogManager.getLogger(ForwardingServer.class);

    private final Node mNode;

    private final Function<UpstreamIncarnation, Optional<Address>> mUpstreams;

    private final AtomicInteger mConnections = new AtomicInteger();

    private final Counter mBytes;

    private volatile boolean mDraining;

    /**
     * Creates a server.
     *
     * @param upstreams returns the address of an upstream; empty if it is not listed, or this
     *     router does not reach it either
     */
    public ForwardingServer(Node node, Function<UpstreamIncarnation, Optional<Address>> upstreams) {
        mNode = node;
        mUpstreams = upstreams;
        mBytes = node.metrics().counter("forward.taken.bytes");
        node.metrics().register("forward.taken.open", (Gauge<Integer>) mConnections::get);
    }

    /** Accepts no further connections; those that are open go on. */
    public void drain() {
        mDraining = true;
    }

    /** Returns the number of connections that are being opened or are open. */
    public int connectionCount() {
        return mConnections.get();
    }

    /**
     * Connects to an upstream and answers the request; on success, the connection of the requesting
     * router carries that of the upstream from then on.
     *
     * @param context the connection of the requesting router, after its handshake
     */
    void accept(ChannelHandlerContext context, Incarnation from, UpstreamIncarnation upstream) {
        if (mDraining || mConnections.get() >= MAX_CONNECTIONS) {
            refuse(context.channel(), ForwardOutcome.BUSY);
            return;
        }
        Optional<Address> address = mUpstreams.apply(upstream);
        if (address.isEmpty()) {
            refuse(context.channel(), ForwardOutcome.UNREACHABLE);
            return;
        }
        mConnections.incrementAndGet();
        context.channel().closeFuture().addListener(closed -> mConnections.decrementAndGet());
        new Bootstrap()
                .group(context.channel().eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address.get().socket())
                .addListener(
                        (ChannelFuture opened) -> onConnected(context, from, upstream, opened));
    }

    private void onConnected(
            ChannelHandlerContext context,
            Incarnation from,
            UpstreamIncarnation upstream,
            ChannelFuture opened) {
        Channel router = context.channel();
        if (!opened.isSuccess()) {
            boolean refused =
                    opened.cause() instanceof ConnectException
                            && !(opened.cause() instanceof ConnectTimeoutException);
            refuse(router, refused ? ForwardOutcome.REFUSED : ForwardOutcome.UNREACHABLE);
            return;
        }
        if (!router.isActive()) {
            opened.channel().close();
            return;
        }
        count(ForwardOutcome.OPENED);
        LOGGER.debug("connection forwarded from={} upstream={}", from, upstream);
        router.config().setWriteBufferWaterMark(WATER_MARK);
        router.writeAndFlush(new PeerMessage.ConnectResult(ForwardOutcome.OPENED));
        PeerFraming.removeFrom(router.pipeline());
        router.pipeline().remove(context.handler());
        router.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_MILLIS, TimeUnit.MILLISECONDS));
        ForwardedConnection.join(router, opened.channel(), mBytes);
    }

    /** Answers that no connection is forwarded, and closes the connection. */
    private void refuse(Channel router, ForwardOutcome outcome) {
        count(outcome);
        router.writeAndFlush(new PeerMessage.ConnectResult(outcome))
                .addListener(written -> router.close());
    }

    private void count(ForwardOutcome outcome) {
        mNode.count("forward.taken." + outcome.name().toLowerCase(Locale.ROOT));
    }
}
