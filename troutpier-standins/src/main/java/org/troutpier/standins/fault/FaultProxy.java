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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.settings.Address;

/**
 * Passes connections on to a target and harms them from outside, as a bad network does. Thread
 * safe; each connection is confined to one event loop. Invariant: bytes are never changed, lost
 * from the middle, or overtaken; a cut holds them and the closing of its side up until it ends, as
 * a partition does.
 */
public final class FaultProxy implements AutoCloseable {

    /** Nanoseconds in a millisecond. */
    private static final long NANOS = 1_000_000L;

    /** Which faults are on, by when they end, nanoseconds. */
    private final Map<LinkFault, Long> mUntil = new ConcurrentHashMap<>();

    /** The open connections. */
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

    /** Runs the connections. */
    private final EventLoopGroup mLoops;

    /** Listens. */
    private final Channel mListener;

    /** Where connections go. */
    private volatile Address mTarget;

    /** By how much bytes are late while {@link LinkFault#DELAY} is on, milliseconds. */
    private volatile int mDelayMillis;

    /**
     * Creates a proxy and starts to listen.
     *
     * @param listen where to listen; port 0 takes a free one
     * @param target where connections go
     * @param loops runs the connections
     */
    public FaultProxy(Address listen, Address target, EventLoopGroup loops) {
        mTarget = target;
        mLoops = loops;
        mListener =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accepted(channel);
                                    }
                                })
                        .bind(listen.host(), listen.port())
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Returns where the proxy listens.
     *
     * @return the address
     */
    public Address address() {
        InetSocketAddress address = (InetSocketAddress) mListener.localAddress();
        return new Address(address.getHostString(), address.getPort());
    }

    /**
     * Sends new connections elsewhere.
     *
     * @param target where they go from now on
     */
    public void target(Address target) {
        mTarget = target;
    }

    /**
     * Switches a fault on.
     *
     * @param fault the fault
     * @param millis how long it lasts; {@link LinkFault#FORGET} has no length
     * @param amount how strong it is
     */
    public void fault(LinkFault fault, long millis, int amount) {
        if (fault == LinkFault.DELAY) {
            mDelayMillis = amount;
        }
        if (fault != LinkFault.FORGET) {
            mUntil.put(fault, System.nanoTime() + millis * NANOS);
            mLoops.next().schedule(this::apply, millis + 1, TimeUnit.MILLISECONDS);
        }
        mConnections.forEach(connection -> connection.harmed(fault));
        apply();
    }

    /** Ends all faults; connections that were forgotten stay so. */
    public void heal() {
        mUntil.clear();
        apply();
    }

    /** Has every connection look at what is on. */
    private void apply() {
        mConnections.forEach(Connection::look);
    }

    /**
     * Returns whether a fault is on.
     *
     * @param fault the fault
     * @return whether it is
     */
    private boolean on(LinkFault fault) {
        Long until = mUntil.get(fault);
        return until != null && until - System.nanoTime() > 0;
    }

    /**
     * Takes a new connection.
     *
     * @param channel the connection
     */
    private void accepted(Channel channel) {
        if (on(LinkFault.RESET)) {
            reset(channel);
            return;
        }
        Connection connection = new Connection(channel);
        channel.pipeline().addLast(connection.mForth);
        mConnections.add(connection);
        channel.closeFuture().addListener(closed -> mConnections.remove(connection));
        connection.connect();
    }

    /**
     * Ends a connection with a reset.
     *
     * @param channel the connection
     */
    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        mConnections.forEach(connection -> connection.mNear.close());
    }

    /** One connection and its continuation to the target. Confined to the near side's loop. */
    private final class Connection {

        /** The side that was accepted. */
        private final Channel mNear;

        /** Passes bytes towards the target. */
        private final Direction mForth = new Direction(this, LinkFault.CUT_FORTH);

        /** Passes bytes back. */
        private final Direction mBack = new Direction(this, LinkFault.CUT_BACK);

        /** Whether nothing passes any more. */
        private boolean mForgotten;

        /**
         * Creates a connection.
         *
         * @param near the side that was accepted
         */
        Connection(Channel near) {
            mNear = near;
        }

        /** Opens the side to the target. */
        private void connect() {
            Address target = mTarget;
            ChannelFuture opened =
                    new Bootstrap()
                            .group(mNear.eventLoop())
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.AUTO_READ, false)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(mBack)
                            .connect(target.host(), target.port());
            opened.addListener(
                    connected -> {
                        if (!connected.isSuccess()) {
                            reset(mNear);
                            return;
                        }
                        mForth.mTo = opened.channel();
                        mBack.mTo = mNear;
                        mForth.mFrom = mNear;
                        mBack.mFrom = opened.channel();
                        if (!mNear.isActive()) {
                            opened.channel().close();
                        }
                        look();
                    });
        }

        /**
         * Takes a fault that hits open connections at its start.
         *
         * @param fault the fault
         */
        private void harmed(LinkFault fault) {
            if (fault == LinkFault.FORGET) {
                mNear.eventLoop().execute(() -> mForgotten = true);
            } else if (fault == LinkFault.RESET) {
                mNear.eventLoop()
                        .execute(
                                () -> {
                                    reset(mNear);
                                    if (mBack.mFrom != null) {
                                        reset(mBack.mFrom);
                                    }
                                });
            }
        }

        /** Lets each direction pass or holds it, by what is on. */
        private void look() {
            mNear.eventLoop()
                    .execute(
                            () -> {
                                boolean held = mForgotten || on(LinkFault.DARK);
                                mForth.look(held);
                                mBack.look(held);
                            });
        }
    }

    /** One direction of a connection. Confined to its loop. */
    private final class Direction extends ChannelInboundHandlerAdapter {

        /** The connection that this is a direction of. */
        private final Connection mConnection;

        /** The fault that holds this direction up. */
        private final LinkFault mCut;

        /** Where bytes come from, once both sides are open. */
        private Channel mFrom;

        /** Where bytes go. */
        private Channel mTo;

        /** Before when nothing is passed on, nanoseconds: a shorter delay overtakes nothing. */
        private long mNotBefore = System.nanoTime();

        /** What waits, in order: each time that comes up lets the first go. */
        private final Queue<Runnable> mWaiting = new ArrayDeque<>();

        /**
         * Creates a direction.
         *
         * @param connection the connection that this is a direction of
         * @param cut the fault that holds it up
         */
        Direction(Connection connection, LinkFault cut) {
            mConnection = connection;
            mCut = cut;
        }

        /**
         * Reads on or not.
         *
         * @param held whether the whole connection is held up
         */
        private void look(boolean held) {
            if (mFrom != null) {
                mFrom.config().setAutoRead(!held && !on(mCut) && mTo.isWritable());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            later(context, () -> write(bytes));
        }

        /**
         * Passes bytes on, or drops them where the other side is closed.
         *
         * @param bytes the bytes
         */
        private void write(Object bytes) {
            if (mTo.isActive()) {
                mTo.writeAndFlush(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mTo != null) {
                later(context, mTo::close);
            }
        }

        /**
         * Does something after the delay that is on, never before what came earlier.
         *
         * @param context the side that is read
         * @param action what to do
         */
        private void later(ChannelHandlerContext context, Runnable action) {
            long now = System.nanoTime();
            long delay = on(LinkFault.DELAY) ? mDelayMillis * NANOS : 0;
            mNotBefore = Math.max(mNotBefore, now + delay);
            if (mNotBefore <= now && mWaiting.isEmpty()) {
                action.run();
                return;
            }
            mWaiting.add(action);
            context.executor()
                    .schedule(
                            () -> mWaiting.remove().run(), mNotBefore - now, TimeUnit.NANOSECONDS);
        }

        /** {@inheritDoc} */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            mConnection.look();
            context.fireChannelWritabilityChanged();
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset(context.channel());
        }
    }
}
