package org.troutpier.common.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.settings.Address;

/**
 * A bounded HTTP server on Netty: it limits connections, sizes and the time a request may take to
 * arrive. Thread safe.
 */
public final class HttpServer implements AutoCloseable {

    /** The longest request line, bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 8192;

    /** The largest chunk that the codec passes on, bytes. */
    private static final int MAX_CHUNK_BYTES = 8192;

    /**
     * How long after the start of accepting a request may still come from the socket's backlog,
     * which is empty long before that.
     */
    private static final long BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The limits; read again for each new connection. */
    private final Supplier<ServerLimits> mLimits;

    private final ServerRefusals mRefusals;

    private final HttpHandler mHandler;

    private final ConnectionGate mGate;

    private final AtomicInteger mConnections = new AtomicInteger();

    private final AtomicInteger mActiveExchanges = new AtomicInteger();

    private final ChannelGroup mOpenChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Whether each connection is closed after its response. */
    private final AtomicBoolean mDraining = new AtomicBoolean();

    /** When connections were first accepted, on the monotonic clock; 0 before. */
    private final AtomicLong mAcceptedAt = new AtomicLong();

    private final Channel mListener;

    /**
     * Creates and starts a server whose limits never change.
     *
     * @param address where to listen
     */
    public HttpServer(
            Address address,
            EventLoopGroup loops,
            ServerLimits limits,
            ServerRefusals refusals,
            HttpHandler handler) {
        this(address, loops, () -> limits, refusals, handler);
    }

    /**
     * Creates and starts a server.
     *
     * @param address where to listen
     * @param limits the limits; read again for each new connection
     */
    public HttpServer(
            Address address,
            EventLoopGroup loops,
            Supplier<ServerLimits> limits,
            ServerRefusals refusals,
            HttpHandler handler) {
        this(
                listen(address),
                loops,
                limits,
                refusals,
                handler,
                ConnectionGate.ForNoRestriction.INSTANCE);
        startAccepting();
    }

    /**
     * Creates a server on a socket that listens already. It accepts nothing before {@link
     * #startAccepting()}.
     *
     * @param limits the limits; read again for each new connection
     * @param gate decides about each new connection
     */
    public HttpServer(
            ListeningSocket socket,
            EventLoopGroup loops,
            Supplier<ServerLimits> limits,
            ServerRefusals refusals,
            HttpHandler handler,
            ConnectionGate gate) {
        mLimits = limits;
        mRefusals = refusals;
        mHandler = handler;
        mGate = gate;
        mListener =
                new ServerBootstrap()
                        .group(loops)
                        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                        .option(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionInitializer())
                        .register()
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Opens a socket.
     *
     * @param address where to listen
     * @throws UncheckedIOException if the address cannot be listened at
     */
    private static ListeningSocket listen(Address address) {
        try {
            return ListeningSocket.open(address);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Begins to accept connections; a second call changes nothing. */
    public void startAccepting() {
        mAcceptedAt.compareAndSet(0, System.nanoTime());
        mListener.config().setAutoRead(true);
    }

    /**
     * Returns whether connections are accepted.
     *
     * @return whether new connections are accepted
     */
    public boolean isAccepting() {
        return mListener.isActive() && mListener.config().isAutoRead();
    }

    /**
     * Returns whether requests may have waited in the socket's backlog since before connections
     * were accepted, so that some of their clients may have disconnected.
     *
     * @return whether the server began to accept connections less than {@link #BACKLOG_NANOS} ago
     */
    private boolean mayHaveBacklog() {
        long accepted = mAcceptedAt.get();
        return accepted != 0 && System.nanoTime() - accepted < BACKLOG_NANOS;
    }

    /** Returns where the server listens, with the port that the system chose if 0 was given. */
    public Address address() {
        return Address.of((InetSocketAddress) mListener.localAddress());
    }

    /** Returns how many connections are open. */
    public int connectionCount() {
        return mConnections.get();
    }

    /** Returns the number of exchanges whose response is not yet completely written. */
    public int activeExchanges() {
        return mActiveExchanges.get();
    }

    /** Closes each connection after its response from now on. */
    public void drain() {
        mDraining.set(true);
    }

    /**
     * Returns the number of connections whose output waits for the client to read; refusals are
     * included, which belong to no exchange.
     */
    public int sendingConnections() {
        return (int) mOpenChannels.stream().filter(IdleConnectionHandler::hasOutput).count();
    }

    /**
     * Closes each connection on which no request is being served and all responses have been
     * written to the socket. A request that has been completely read is served. If a request is
     * still being received, its connection is closed and the request is not handled.
     */
    public void closeIdle() {
        mOpenChannels.forEach(
                channel ->
                        channel.pipeline()
                                .fireUserEventTriggered(IdleConnectionHandler.Event.CLOSE_IF_IDLE));
    }

    /** Stops listening; open connections are kept. */
    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    /** Sets up one connection. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        /** {@inheritDoc} */
        @Override
        protected void initChannel(SocketChannel channel) {
            if (!mGate.admit(channel)) {
                channel.close();
                return;
            }
            ServerLimits limits = mLimits.get();
            boolean overLimit = mConnections.incrementAndGet() > limits.connections();
            mOpenChannels.add(channel);
            channel.closeFuture().addListener(closed -> mConnections.decrementAndGet());
            RequestTimeoutHandler timer =
                    new RequestTimeoutHandler(limits.requestMillis(), mRefusals);
            ChannelPipeline pipeline = channel.pipeline();
            ExchangeHandler exchanges =
                    new ExchangeHandler(
                            mHandler,
                            timer,
                            mRefusals,
                            mActiveExchanges,
                            mDraining::get,
                            HttpServer.this::mayHaveBacklog);
            pipeline.addLast(new IdleConnectionHandler(limits.idleMillis(), exchanges::isServing));
            pipeline.addLast(timer);
            pipeline.addLast(
                    new HttpServerCodec(
                            MAX_REQUEST_LINE_BYTES, limits.headerBytes(), MAX_CHUNK_BYTES));
            if (overLimit) {
                pipeline.addLast(new RefuseAllHandler(ResultCode.TOO_MANY_CONNECTIONS, mRefusals));
                return;
            }
            pipeline.addLast(
                    new RequestHeadFilter(
                            mHandler,
                            mRefusals,
                            timer,
                            limits.bodyBytes(),
                            mDraining::get,
                            exchanges::isServing));
            pipeline.addLast(new Aggregator(limits.bodyBytes(), mRefusals));
            pipeline.addLast(exchanges);
        }
    }

    /** Aggregates a request and refuses one whose body is too large. */
    private static final class Aggregator extends HttpObjectAggregator {

        private final ServerRefusals mRefusals;

        /**
         * Creates an aggregator.
         *
         * @param bodyBytes the largest body
         */
        Aggregator(int bodyBytes, ServerRefusals refusals) {
            super(bodyBytes);
            mRefusals = refusals;
        }

        /** {@inheritDoc} */
        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
            RefusalWriter.refuseAndClose(context.channel(), mRefusals, ResultCode.BODY_TOO_LARGE);
        }
    }
}
