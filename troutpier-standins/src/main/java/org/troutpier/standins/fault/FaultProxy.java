package org.troutpier.standins.fault;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.settings.Address;

/**
 * A TCP proxy that simulates network faults between its clients and a target. Thread safe; each
 * connection is confined to one event loop. Invariant: bytes are never changed, reordered or
 * dropped from the middle of a stream. A cut delays bytes, and the close of the side that sends
 * them, until it ends, as a network partition does.
 */
public final class FaultProxy implements AutoCloseable {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** When each fault ends, as {@link System#nanoTime()}. */
    private final Map<LinkFault, Long> mFaultEnds = new ConcurrentHashMap<>();

    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

    private final EventLoopGroup mLoops;

    private final InetSocketAddress mAddress;

    /** Accepts connections; closed while the path is cut. */
    private volatile Channel mListener;

    /** Keeps new connections waiting while the path is cut silently; null otherwise. */
    private SilentSocket mSilentSocket;

    /** The target of new connections. */
    private volatile Address mTarget;

    /** The delay of bytes while {@link LinkFault#DELAY} is active. */
    private volatile int mDelayMillis;

    /**
     * Creates a proxy and starts listening.
     *
     * @param listen the address to listen on; port 0 selects a free port
     * @param target the target of connections
     * @param loops the event loops of the connections
     */
    public FaultProxy(Address listen, Address target, EventLoopGroup loops) {
        mTarget = target;
        mLoops = loops;
        mListener = listen(new InetSocketAddress(listen.host(), listen.port()));
        mAddress = (InetSocketAddress) mListener.localAddress();
    }

    private Channel listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(mLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                onAccepted(channel);
                            }
                        })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Cuts the path for new connections; open ones are not affected.
     *
     * @param silently whether new connections hang, rather than being refused
     */
    public synchronized void cut(boolean silently) {
        mend();
        mListener.close().syncUninterruptibly();
        if (silently) {
            mSilentSocket = new SilentSocket(mAddress);
        }
    }

    /** Accepts new connections again. */
    public synchronized void mend() {
        if (mSilentSocket != null) {
            mSilentSocket.close();
            mSilentSocket = null;
        }
        if (!mListener.isOpen()) {
            mListener = listen(mAddress);
        }
    }

    /**
     * Returns the address that the proxy listens on.
     *
     * @return the address
     */
    public Address address() {
        return new Address(mAddress.getHostString(), mAddress.getPort());
    }

    /**
     * Sets the target of new connections.
     *
     * @param target the new target
     */
    public void target(Address target) {
        mTarget = target;
    }

    /**
     * Switches a fault on.
     *
     * @param fault the fault
     * @param millis its duration; ignored for {@link LinkFault#FORGET}, which is permanent
     * @param amount the delay in milliseconds for {@link LinkFault#DELAY}, else ignored
     * @return completes once every open connection has applied the fault
     */
    public CompletableFuture<Void> fault(LinkFault fault, long millis, int amount) {
        if (fault == LinkFault.DELAY) {
            mDelayMillis = amount;
        }
        if (fault != LinkFault.FORGET) {
            mFaultEnds.put(fault, System.nanoTime() + millis * NANOS_PER_MILLI);
            mLoops.next().schedule(this::applyFaults, millis + 1, TimeUnit.MILLISECONDS);
        }
        mConnections.forEach(connection -> connection.onFault(fault));
        return applyFaults();
    }

    /**
     * Ends all faults, except that connections silenced by {@link LinkFault#FORGET} stay silent.
     */
    public void heal() {
        mFaultEnds.clear();
        applyFaults();
    }

    /**
     * Makes every connection apply the active faults.
     *
     * @return completes once all have done so
     */
    private CompletableFuture<Void> applyFaults() {
        return CompletableFuture.allOf(
                mConnections.stream()
                        .map(Connection::updateAutoRead)
                        .toArray(CompletableFuture[]::new));
    }

    private boolean on(LinkFault fault) {
        Long until = mFaultEnds.get(fault);
        return until != null && until - System.nanoTime() > 0;
    }

    /**
     * Handles a new connection; resets it while {@link LinkFault#RESET} is active.
     *
     * @param channel the connection
     */
    private void onAccepted(Channel channel) {
        if (on(LinkFault.RESET)) {
            resetChannel(channel);
            return;
        }
        Connection connection = new Connection(channel);
        channel.pipeline().addLast(connection.mToTarget);
        mConnections.add(connection);
        channel.closeFuture().addListener(closed -> mConnections.remove(connection));
        connection.connect();
    }

    /**
     * Closes a connection with a TCP reset.
     *
     * @param channel the connection
     */
    private static void resetChannel(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Stops listening and closes all connections. */
    @Override
    public synchronized void close() {
        if (mSilentSocket != null) {
            mSilentSocket.close();
        }
        mListener.close().syncUninterruptibly();
        mConnections.forEach(connection -> connection.mClientChannel.close());
    }

    /**
     * A client connection and its connection to the target. Confined to the event loop of the
     * client connection.
     */
    private final class Connection {

        /** The accepted connection. */
        private final Channel mClientChannel;

        /** Passes bytes from the client to the target. */
        private final Direction mToTarget = new Direction(this, LinkFault.CUT_FORTH);

        /** Passes bytes from the target to the client. */
        private final Direction mFromTarget = new Direction(this, LinkFault.CUT_BACK);

        /** Whether {@link LinkFault#FORGET} has permanently stopped this connection. */
        private boolean mSilenced;

        /**
         * Creates a connection.
         *
         * @param clientChannel the accepted connection
         */
        Connection(Channel clientChannel) {
            mClientChannel = clientChannel;
        }

        /** Connects to the target; resets the client connection if that fails. */
        private void connect() {
            Address target = mTarget;
            ChannelFuture opened =
                    new Bootstrap()
                            .group(mClientChannel.eventLoop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.AUTO_READ, false)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(mFromTarget)
                            .connect(target.host(), target.port());
            opened.addListener(
                    connected -> {
                        if (!connected.isSuccess()) {
                            resetChannel(mClientChannel);
                            return;
                        }
                        mToTarget.mSink = opened.channel();
                        mFromTarget.mSink = mClientChannel;
                        mToTarget.mSource = mClientChannel;
                        mFromTarget.mSource = opened.channel();
                        if (!mClientChannel.isActive()) {
                            opened.channel().close();
                        }
                        updateAutoRead();
                    });
        }

        /**
         * Applies a fault that affects open connections when it starts.
         *
         * @param fault the fault
         */
        private void onFault(LinkFault fault) {
            if (fault == LinkFault.FORGET) {
                mClientChannel.eventLoop().execute(() -> mSilenced = true);
            } else if (fault == LinkFault.RESET) {
                mClientChannel
                        .eventLoop()
                        .execute(
                                () -> {
                                    resetChannel(mClientChannel);
                                    if (mFromTarget.mSource != null) {
                                        resetChannel(mFromTarget.mSource);
                                    }
                                });
            }
        }

        /**
         * Pauses or resumes both directions according to the active faults.
         *
         * @return completes once it has
         */
        private CompletableFuture<Void> updateAutoRead() {
            return CompletableFuture.runAsync(
                    () -> {
                        boolean paused = mSilenced || on(LinkFault.DARK);
                        mToTarget.updateAutoRead(paused);
                        mFromTarget.updateAutoRead(paused);
                    },
                    mClientChannel.eventLoop());
        }
    }

    /** One direction of a connection. Confined to the event loop of the connection. */
    private final class Direction extends ChannelInboundHandlerAdapter {

        /** The connection that this direction belongs to. */
        private final Connection mConnection;

        /** The fault that pauses this direction. */
        private final LinkFault mCutFault;

        /** The channel that bytes are read from; null until both sides are open. */
        private Channel mSource;

        /** The channel that bytes are written to; null until both sides are open. */
        private Channel mSink;

        /**
         * The earliest time at which bytes may pass, as {@link System#nanoTime()}. It never
         * decreases, so that a shorter delay does not reorder bytes.
         */
        private long mNextPassNanos = System.nanoTime();

        /** The delayed actions in order. Each timer that fires runs the first of them. */
        private final Queue<Runnable> mPending = new ArrayDeque<>();

        /**
         * Creates a direction.
         *
         * @param connection the connection that this direction belongs to
         * @param cutFault the fault that pauses it
         */
        Direction(Connection connection, LinkFault cutFault) {
            mConnection = connection;
            mCutFault = cutFault;
        }

        /**
         * Reads from the source unless this direction is paused or the sink is not writable.
         *
         * @param paused whether the whole connection is paused
         */
        private void updateAutoRead(boolean paused) {
            if (mSource != null) {
                mSource.config().setAutoRead(!paused && !on(mCutFault) && mSink.isWritable());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            runDelayed(context, () -> write(bytes));
        }

        /**
         * Writes bytes to the sink, or drops them when the sink is closed.
         *
         * @param bytes the bytes
         */
        private void write(Object bytes) {
            if (mSink.isActive()) {
                mSink.writeAndFlush(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mSink != null) {
                runDelayed(context, mSink::close);
            }
        }

        /**
         * Runs an action after the active delay, never before an earlier action.
         *
         * @param context the context of the source
         * @param action the action
         */
        private void runDelayed(ChannelHandlerContext context, Runnable action) {
            long now = System.nanoTime();
            long delay = on(LinkFault.DELAY) ? mDelayMillis * NANOS_PER_MILLI : 0;
            mNextPassNanos = Math.max(mNextPassNanos, now + delay);
            if (mNextPassNanos <= now && mPending.isEmpty()) {
                action.run();
                return;
            }
            mPending.add(action);
            context.executor()
                    .schedule(
                            () -> mPending.remove().run(),
                            mNextPassNanos - now,
                            TimeUnit.NANOSECONDS);
        }

        /** {@inheritDoc} */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            mConnection.updateAutoRead();
            context.fireChannelWritabilityChanged();
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            resetChannel(context.channel());
        }
    }
}
