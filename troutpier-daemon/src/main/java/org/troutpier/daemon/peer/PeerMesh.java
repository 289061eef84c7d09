package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Connections among routers over TCP. Each router opens a connection to every peer that it wants to
 * send to, and receives on the connections that peers opened. Methods are confined to the control
 * thread. Invariant: no message is accepted on a connection before the peer has proved that it
 * knows the shared secret.
 */
public final class PeerMesh implements PeerLinks, AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final Node mNode;

    private final Peers mPeers;

    private final PeerSecret mSecret;

    private final MessageListener mMessageListener;

    /** Forwards connections of peers; empty if this router does not. */
    private final Optional<ForwardingServer> mForwarding;

    /**
     * Time after which a silent connection that this router opened and sends on is closed. A
     * connection may go silent for good without a reset, and peers use the load that was last
     * reported to them for this time: beyond it, they would take engines to be less loaded than
     * they are.
     */
    static final long SILENCE_TIMEOUT_MILLIS = PeerLoads.REPORT_TTL_MILLIS;

    /** Interval at which receipt is acknowledged on a connection that peers send on. */
    static final long ACKNOWLEDGE_INTERVAL_MILLIS = SILENCE_TIMEOUT_MILLIS / 3;

    /** Connections that this router opened, once the handshake is done. */
    private final Map<Incarnation, Channel> mReady = new HashMap<>();

    /** The routers of {@link #mReady} that accept messages about the origins of streams. */
    private final Set<Incarnation> mAcceptingOrigins = new HashSet<>();

    /** Incarnation to which a connection is open or being opened, by peer address. */
    private final Map<String, Incarnation> mTargets = new HashMap<>();

    private final Channel mServerChannel;

    private final SentMessageCounters mSent;

    private final Counter mReceived;

    /** Counts bytes in both directions. */
    private final Counter mBytes;

    /** Receives messages on the control thread. */
    public interface MessageListener {

        /**
         * Called for each message.
         *
         * @param from the sender
         */
        void onMessage(Member from, PeerMessage message);

        /** Called when a connection is refused, so that no process of the router is left. */
        default void onProcessEnded(Incarnation router) {}
    }

    /**
     * The other routers, and those to connect to. Thread safe if its components are.
     *
     * @param membership tracks the routers
     * @param connectionTargets the routers to keep connections to; called on the control thread
     */
    public record Peers(Membership membership, Supplier<List<Member>> connectionTargets) {}

    /**
     * Creates a mesh and starts to listen.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param address the address to listen at
     * @param peers the other routers
     * @param secret the secret that all routers share
     * @param forwarding forwards connections of peers; empty if this router does not
     * @param listener receives messages on the control thread
     */
    public PeerMesh(
            Node node,
            Address address,
            Peers peers,
            PeerSecret secret,
            Optional<ForwardingServer> forwarding,
            MessageListener listener) {
        mNode = node;
        mPeers = peers;
        mSecret = secret;
        mForwarding = forwarding;
        mMessageListener = listener;
        mSent = new SentMessageCounters(node.metrics());
        mReceived = node.metrics().counter("peer.heard");
        mBytes = node.metrics().counter("peer.bytes");
        mServerChannel =
                new ServerBootstrap()
                        .group(node.loops())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        PeerFraming.addTo(channel.pipeline(), mBytes);
                                        channel.pipeline().addLast(new Incoming());
                                    }
                                })
                        .bind(address.socket())
                        .syncUninterruptibly()
                        .channel();
    }

    /** Connects to every target that is not connected. */
    public void connect() {
        mPeers.connectionTargets().get().forEach(this::connect);
    }

    /**
     * {@inheritDoc} A connection to an earlier incarnation at the same address is closed first,
     * since messages are addressed by incarnation; a call after it has closed opens the new one.
     */
    @Override
    public void connect(Member member) {
        Incarnation incarnation = member.incarnation();
        if (incarnation.equals(mPeers.membership().self().incarnation())) {
            return;
        }
        Incarnation before = mTargets.putIfAbsent(member.address(), incarnation);
        if (before == null) {
            open(member);
        } else if (!before.equals(incarnation) && mReady.containsKey(before)) {
            mReady.remove(before).close();
        }
    }

    /** Opens a lost connection again; a refusal proves that the router's process has ended. */
    private void reconnect(Incarnation lost) {
        mPeers.connectionTargets().get().stream()
                .filter(target -> target.incarnation().equals(lost))
                .forEach(this::connect);
    }

    private void open(Member member) {
        Address address = Address.parse(member.address());
        new Bootstrap()
                .group(mNode.loops())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                PeerFraming.addTo(channel.pipeline(), mBytes);
                                channel.pipeline()
                                        .addLast(
                                                new SilenceTimeoutHandler(
                                                        mNode::millis, this::silent))
                                        .addLast(new Outgoing(member));
                            }

                            private void silent() {
                                mNode.count("peer.silent");
                            }
                        })
                .connect(new InetSocketAddress(address.host(), address.port()))
                .addListener(
                        connected -> {
                            if (!connected.isSuccess()) {
                                boolean ended = isRefused(connected.cause());
                                mNode.control().execute(() -> onNotConnected(member, ended));
                            }
                        });
    }

    /** Returns whether a machine refused a connection, rather than not answering. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void onNotConnected(Member member, boolean ended) {
        mTargets.remove(member.address());
        if (ended) {
            mMessageListener.onProcessEnded(member.incarnation());
        }
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
        Channel channel = mReady.get(to);
        if (channel == null || !channel.isActive()) {
            return false;
        }
        send(channel, message, encode(message));
        return true;
    }

    /** Sends a message to all connected routers. */
    public void broadcast(PeerMessage message) {
        sendAll(mReady.keySet(), message);
    }

    @Override
    public void sendAll(Collection<Incarnation> to, PeerMessage message) {
        if (to.isEmpty()) {
            return;
        }
        byte[] frame = encode(message);
        for (Incarnation each : to) {
            Channel channel = mReady.get(each);
            if (channel != null && channel.isActive()) {
                send(channel, message, frame);
            }
        }
    }

    private void send(Channel channel, PeerMessage message, byte[] frame) {
        mSent.count(message, frame.length + PeerFraming.LENGTH_FIELD_BYTES);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    }

    private static byte[] encode(PeerMessage message) {
        try {
            return PeerCodec.encode(message);
        } catch (IOException exception) {
            throw new IllegalStateException("cannot encode " + message, exception);
        }
    }

    @Override
    public boolean isConnected(Incarnation to) {
        return mReady.containsKey(to);
    }

    @Override
    public boolean acceptsOrigins(Incarnation to) {
        return mReady.containsKey(to) && mAcceptingOrigins.contains(to);
    }

    /** A connection that this router opened. Confined to the event loop of the connection. */
    private final class Outgoing extends SimpleChannelInboundHandler<PeerMessage> {

        private final Member mMember;

        /** Nonce that the peer's proof must cover. */
        private final String mNonce = mSecret.newNonce();

        Outgoing(Member member) {
            mMember = member;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            Member self = mPeers.membership().self();
            context.writeAndFlush(
                    new PeerMessage.Hello(
                            self.incarnation().value(),
                            self.hall().value(),
                            self.address(),
                            mNonce));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (message instanceof PeerMessage.Heard) {
                return;
            }
            boolean valid =
                    message instanceof PeerMessage.Challenge challenge
                            && mSecret.verify(
                                    challenge.proof(), "answer", mNonce, challenge.nonce());
            if (!valid) {
                mNode.count("peer.refused");
                context.close();
                return;
            }
            String nonce = ((PeerMessage.Challenge) message).nonce();
            boolean acceptsOrigins = ((PeerMessage.Challenge) message).origins();
            String self = mPeers.membership().self().incarnation().value();
            context.writeAndFlush(
                    new PeerMessage.Proof(mSecret.computeProof("caller", nonce, mNonce, self)));
            mNode.control()
                    .execute(
                            () -> {
                                mReady.put(mMember.incarnation(), context.channel());
                                if (acceptsOrigins) {
                                    mAcceptingOrigins.add(mMember.incarnation());
                                }
                            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mNode.control()
                    .execute(
                            () -> {
                                mTargets.remove(mMember.address());
                                boolean lost =
                                        mReady.remove(mMember.incarnation(), context.channel());
                                if (!mReady.containsKey(mMember.incarnation())) {
                                    mAcceptingOrigins.remove(mMember.incarnation());
                                }
                                if (lost) {
                                    reconnect(mMember.incarnation());
                                }
                            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** A connection that a peer opened. Confined to the event loop of the connection. */
    private final class Incoming extends SimpleChannelInboundHandler<PeerMessage> {

        /** The peer's first message, whose identity is not proved yet; null before it arrives. */
        private PeerMessage.Hello mHello;

        /** Nonce that the peer's proof must cover. */
        private final String mNonce = mSecret.newNonce();

        /** The peer; null until it has proved the secret. */
        private Member mMember;

        /** Time of the last acknowledgement, milliseconds on the monotonic clock. */
        private long mAcknowledgedAt;

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
            if (mMember != null && message instanceof PeerMessage.Connect connect) {
                mForwarding.ifPresentOrElse(
                        each -> each.accept(context, mMember.incarnation(), connect.upstream()),
                        context::close);
            } else if (mMember != null) {
                acknowledge(context);
                dispatch(message);
            } else if (message instanceof PeerMessage.Hello hello && mHello == null) {
                mHello = hello;
                String proof = mSecret.computeProof("answer", hello.nonce(), mNonce);
                context.writeAndFlush(
                        new PeerMessage.Challenge(mNonce, proof, mForwarding.isPresent(), true));
            } else if (message instanceof PeerMessage.Proof proof && isProofValid(proof)) {
                mMember =
                        new Member(
                                new Incarnation(mHello.incarnation()),
                                new HallId(mHello.hall()),
                                mHello.peer(),
                                false);
                PeerFraming.raiseLimit(context.pipeline());
                Member member = mMember;
                mNode.control()
                        .execute(
                                () -> {
                                    mPeers.membership().recordContact(member);
                                    connect();
                                });
            } else {
                mNode.count("peer.refused");
                context.close();
            }
        }

        /**
         * Acknowledges receipt if the last acknowledgement is {@link #ACKNOWLEDGE_INTERVAL_MILLIS}
         * old.
         */
        private void acknowledge(ChannelHandlerContext context) {
            long now = mNode.millis();
            if (now - mAcknowledgedAt >= ACKNOWLEDGE_INTERVAL_MILLIS) {
                mAcknowledgedAt = now;
                context.writeAndFlush(new PeerMessage.Heard(), context.voidPromise());
            }
        }

        private boolean isProofValid(PeerMessage.Proof proof) {
            return mHello != null
                    && mSecret.verify(
                            proof.proof(), "caller", mNonce, mHello.nonce(), mHello.incarnation());
        }

        private void dispatch(PeerMessage message) {
            mReceived.inc();
            Member member = mMember;
            mNode.control().execute(() -> mMessageListener.onMessage(member, message));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (mMember == null) {
                mNode.count("peer.refused");
            }
            context.close();
        }
    }

    /** Closes the listening socket. Open connections end with their event loops. Thread safe. */
    @Override
    public void close() {
        mServerChannel.close().syncUninterruptibly();
    }
}
