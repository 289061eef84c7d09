package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Connections to the other routers. Each router connects to every other it knows and sends on its
 * own connections; it hears on those that others opened. Its methods are confined to the control
 * thread. Invariant: no message is taken from a connection that has not proved the secret.
 */
public final class PeerMesh implements PeerLinks, AutoCloseable {

    /** The largest frame, bytes. */
    private static final int MOST_FRAME = 8 * 1024 * 1024;

    /** The largest frame before the secret is proved, bytes. */
    private static final int MOST_OPENING_FRAME = 4096;

    /** How many bytes give a frame's length. */
    private static final int LENGTH_BYTES = 4;

    /** How long a connection may take to open, milliseconds. */
    private static final int CONNECT_MILLIS = 1000;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Who the others are. */
    private final Peers mMembers;

    /** Proves the secret. */
    private final PeerSecret mSecret;

    /** Receives messages on the control thread. */
    private final MessageListener mHearer;

    /**
     * How long a connection that this router opened and sends on may be silent, milliseconds.
     * Connections may go silent for good without a reset; a load that was told counts for this long
     * at the other side, which then believes engines to be freer than they are.
     */
    static final long SILENT_MILLIS = PeerLoads.REPORT_TTL_MILLIS;

    /** How often it is told on a connection that messages are heard, milliseconds. */
    static final long HEARD_MILLIS = SILENT_MILLIS / 3;

    /** The connections that this router opened and that are ready. */
    private final Map<Incarnation, Channel> mReady = new HashMap<>();

    /** Where connections are open or being opened and to which start of a router, by address. */
    private final Map<String, Incarnation> mOpening = new HashMap<>();

    /** The listening socket. */
    private final Channel mListener;

    /** Counts messages sent. */
    private final Counter mSent;

    /** Counts messages sent and their bytes, by kind: looked up once, not with each message. */
    private final Map<String, Kind> mKinds = new HashMap<>();

    /** Counts messages heard. */
    private final Counter mHeard;

    /** Counts bytes sent and heard. */
    private final Counter mBytes;

    /**
     * Counts the messages of one kind. Thread safe.
     *
     * @param messages how many were sent
     * @param bytes how many bytes their frames had
     */
    private record Kind(Counter messages, Counter bytes) {}

    /** Receives messages, on the control thread. */
    public interface MessageListener {

        /**
         * Receives a message.
         *
         * @param from who sent it
         * @param message the message
         */
        void onMessage(Member from, PeerMessage message);
    }

    /**
     * Who the others are and to whom connections are kept. Thread safe if its parts are.
     *
     * @param membership takes note of who was heard
     * @param connectionTargets whom to be connected to; asked on the control thread
     */
    public record Peers(Membership membership, Supplier<List<Member>> connectionTargets) {}

    /**
     * Creates and starts a mesh.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param address where others come in
     * @param members who the others are
     * @param secret what routers prove to each other that they know
     * @param hearer hears messages on the control thread
     */
    public PeerMesh(
            Node node, Address address, Peers members, String secret, MessageListener hearer) {
        mNode = node;
        mMembers = members;
        mSecret = new PeerSecret(secret);
        mHearer = hearer;
        mSent = node.metrics().counter("peer.sent");
        mHeard = node.metrics().counter("peer.heard");
        mBytes = node.metrics().counter("peer.bytes");
        mListener =
                new ServerBootstrap()
                        .group(node.loops())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    /** {@inheritDoc} */
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        frames(channel);
                                        channel.pipeline().addLast(new Incoming());
                                    }
                                })
                        .bind(address.socket())
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Sets up a connection's framing.
     *
     * @param channel the connection
     */
    private void frames(Channel channel) {
        channel.pipeline()
                .addLast(
                        "frames",
                        new LengthFieldBasedFrameDecoder(
                                MOST_OPENING_FRAME, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ByteCounter(mBytes))
                .addLast(new PeerCodec());
    }

    /**
     * Lets a connection that has proved the secret send larger frames.
     *
     * @param channel the connection
     */
    private static void trust(Channel channel) {
        channel.pipeline()
                .replace(
                        "frames",
                        "trusted-frames",
                        new LengthFieldBasedFrameDecoder(
                                MOST_FRAME, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    }

    /** Connects to every router that is wanted and not connected. */
    public void connect() {
        mMembers.connectionTargets().get().forEach(this::connect);
    }

    /**
     * {@inheritDoc} A connection to an earlier start of the same router is closed first: messages
     * are sent by incarnation.
     */
    @Override
    public void connect(Member member) {
        Incarnation incarnation = member.incarnation();
        if (incarnation.equals(mMembers.membership().self().incarnation())) {
            return;
        }
        Incarnation before = mOpening.putIfAbsent(member.address(), incarnation);
        if (before == null) {
            open(member);
        } else if (!before.equals(incarnation) && mReady.containsKey(before)) {
            mReady.remove(before).close();
        }
    }

    /**
     * Opens a connection.
     *
     * @param member the router to connect to
     */
    private void open(Member member) {
        Address address = Address.parse(member.address());
        new Bootstrap()
                .group(mNode.loops())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            /** {@inheritDoc} */
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                frames(channel);
                                channel.pipeline()
                                        .addLast(new SilenceGuard(mNode::millis, this::silent))
                                        .addLast(new Outgoing(member));
                            }

                            /** Counts a connection that is closed for its silence. */
                            private void silent() {
                                mNode.count("peer.silent");
                            }
                        })
                .connect(new InetSocketAddress(address.host(), address.port()))
                .addListener(
                        connected -> {
                            if (!connected.isSuccess()) {
                                mNode.control().execute(() -> mOpening.remove(member.address()));
                            }
                        });
    }

    /** {@inheritDoc} */
    @Override
    public boolean send(Incarnation to, PeerMessage message) {
        Channel channel = mReady.get(to);
        if (channel == null || !channel.isActive()) {
            return false;
        }
        send(channel, message, encoded(message));
        return true;
    }

    /**
     * Sends a message to every router that is connected.
     *
     * @param message the message
     */
    public void broadcast(PeerMessage message) {
        sendAll(mReady.keySet(), message);
    }

    /** {@inheritDoc} */
    @Override
    public void sendAll(Collection<Incarnation> to, PeerMessage message) {
        if (to.isEmpty()) {
            return;
        }
        byte[] frame = encoded(message);
        for (Incarnation each : to) {
            Channel channel = mReady.get(each);
            if (channel != null && channel.isActive()) {
                send(channel, message, frame);
            }
        }
    }

    /**
     * Sends a message, and counts it by its kind: what is told to whom is most of what routers cost
     * each other.
     *
     * @param channel the connection
     * @param message the message
     * @param frame its bytes
     */
    private void send(Channel channel, PeerMessage message, byte[] frame) {
        mSent.inc();
        Kind kind = mKinds.computeIfAbsent(message.label(), this::kind);
        kind.messages().inc();
        kind.bytes().inc(frame.length + LENGTH_BYTES);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    }

    /**
     * Registers the counters of a kind.
     *
     * @param label the kind's name
     * @return its counters
     */
    private Kind kind(String label) {
        String name = "peer.sent." + label;
        return new Kind(
                mNode.metrics().counter(name + ".messages"),
                mNode.metrics().counter(name + ".bytes"));
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its bytes
     */
    private static byte[] encoded(PeerMessage message) {
        try {
            return PeerCodec.bytes(message);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("no encoding for " + message, exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public boolean isConnected(Incarnation to) {
        return mReady.containsKey(to);
    }

    /** A connection that this router opened. Confined to the connection's event loop. */
    private final class Outgoing extends SimpleChannelInboundHandler<PeerMessage> {

        /** Who is on the other side. */
        private final Member mMember;

        /** The number that the other side must prove the secret over. */
        private final String mNonce = mSecret.nonce();

        /**
         * Creates a handler.
         *
         * @param member who is on the other side
         */
        Outgoing(Member member) {
            mMember = member;
        }

        /** {@inheritDoc} */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            Member self = mMembers.membership().self();
            context.writeAndFlush(
                    new PeerMessage.Hello(
                            self.incarnation().value(),
                            self.hall().value(),
                            self.address(),
                            mNonce));
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (message instanceof PeerMessage.Heard) {
                return;
            }
            boolean right =
                    message instanceof PeerMessage.Challenge challenge
                            && mSecret.proves(
                                    challenge.proof(), "answer", mNonce, challenge.nonce());
            if (!right) {
                mNode.count("peer.refused");
                context.close();
                return;
            }
            String nonce = ((PeerMessage.Challenge) message).nonce();
            String self = mMembers.membership().self().incarnation().value();
            context.writeAndFlush(
                    new PeerMessage.Proof(mSecret.prove("caller", nonce, mNonce, self)));
            mNode.control()
                    .execute(
                            () -> {
                                mReady.put(mMember.incarnation(), context.channel());
                            });
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mNode.control()
                    .execute(
                            () -> {
                                mOpening.remove(mMember.address());
                                mReady.remove(mMember.incarnation(), context.channel());
                            });
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A connection that another router opened. Confined to the connection's event loop. */
    private final class Incoming extends SimpleChannelInboundHandler<PeerMessage> {

        /** Who says to be on the other side, or null. */
        private PeerMessage.Hello mHello;

        /** The number that the other side must prove the secret over. */
        private final String mNonce = mSecret.nonce();

        /** Who is on the other side, once proved. */
        private Member mMember;

        /** When it was last told that messages are heard, milliseconds. */
        private long mTold;

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (mMember != null) {
                tellHeard(context);
                take(message);
            } else if (message instanceof PeerMessage.Hello hello && mHello == null) {
                mHello = hello;
                String proof = mSecret.prove("answer", hello.nonce(), mNonce);
                context.writeAndFlush(new PeerMessage.Challenge(mNonce, proof));
            } else if (message instanceof PeerMessage.Proof proof && proved(proof)) {
                mMember =
                        new Member(
                                new Incarnation(mHello.incarnation()),
                                new HallId(mHello.hall()),
                                mHello.peer(),
                                false);
                trust(context.channel());
                Member member = mMember;
                mNode.control()
                        .execute(
                                () -> {
                                    mMembers.membership().recordContact(member);
                                    connect();
                                });
            } else {
                mNode.count("peer.refused");
                context.close();
            }
        }

        /**
         * Tells the other side now and then that it is heard.
         *
         * @param context the connection
         */
        private void tellHeard(ChannelHandlerContext context) {
            long now = mNode.millis();
            if (now - mTold >= HEARD_MILLIS) {
                mTold = now;
                context.writeAndFlush(new PeerMessage.Heard(), context.voidPromise());
            }
        }

        /**
         * Returns whether the other side knows the secret.
         *
         * @param proof what it says
         * @return whether it does
         */
        private boolean proved(PeerMessage.Proof proof) {
            return mHello != null
                    && mSecret.proves(
                            proof.proof(), "caller", mNonce, mHello.nonce(), mHello.incarnation());
        }

        /**
         * Takes a message.
         *
         * @param message the message
         */
        private void take(PeerMessage message) {
            mHeard.inc();
            Member member = mMember;
            mNode.control().execute(() -> mHearer.onMessage(member, message));
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (mMember == null) {
                mNode.count("peer.refused");
            }
            context.close();
        }
    }

    /** Closes the listener; open connections end with their event loops. Any thread may call it. */
    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
    }
}
