package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * Opens a connection to an upstream, directly or through another router. Must be the first handler
 * of its pipeline; confined to the event loop of the connection. Invariants: nothing is sent to the
 * upstream before the connection succeeds, so a failed one has not reached it; a forwarded
 * connection that is lost before the upstream closed it ends with an exception.
 */
public final class ForwardingHandler extends ChannelDuplexHandler {

    /**
     * Time limit of a direct connection while there are other routers, milliseconds. Within it, a
     * reachable machine answers even on a busy path, unless it drops the first packet, which is
     * repeated only after a second.
     */
    private static final long DIRECT_TIMEOUT_MILLIS = 300;

    /** Time limit of opening a connection through another router, milliseconds. */
    private static final long FORWARDED_TIMEOUT_MILLIS = 450;

    private final Paths mPaths;

    private final Identity mIdentity;

    /** Nonce that the forwarding router's proof must cover; null for a direct connection. */
    private String mNonce;

    private InetSocketAddress mUpstream;

    /** The path of a forwarded connection; null for a direct one. */
    private Path mPath;

    /** Completes when the connection to the upstream is open. */
    private ChannelPromise mPromise;

    private Future<?> mTimeout;

    /** Whether this side closed the connection; the path is then not judged by its failure. */
    private boolean mClosed;

    /** Whether the upstream has closed a forwarded connection. */
    private boolean mEndReceived;

    /**
     * What a router proves to the routers that forward its connections. Immutable and thread safe.
     *
     * @param self this router
     * @param secret the secret that all routers share
     * @param bytes counts the bytes of handshakes
     */
    public record Identity(Member self, PeerSecret secret, Counter bytes) {}

    /**
     * The path of a forwarded connection. Immutable and thread safe.
     *
     * @param forwarder the router that forwards it
     */
    public record Path(UpstreamIncarnation upstream, Member forwarder) {}

    /** Selects the paths to upstreams. Called on the event loop of the connection. */
    public interface Paths {

        /** Returns whether a connection is known to fail, so that nobody should wait for it. */
        boolean isUnreachable(InetSocketAddress upstream);

        /** Returns the path to an address; empty to connect directly. */
        Optional<Path> select(InetSocketAddress upstream);

        /** Returns whether there are other routers that may forward connections. */
        boolean hasPeers();

        /**
         * Records the outcome of a direct connection.
         *
         * @param failure why it was not opened; null if it was
         */
        void recordDirect(InetSocketAddress upstream, Throwable failure);

        /** Records the outcome of a forwarded connection. */
        void recordForwarded(Path path, ForwardOutcome outcome);
    }

    /** Creates a handler for one connection. */
    public ForwardingHandler(Paths paths, Identity identity) {
        mPaths = paths;
        mIdentity = identity;
    }

    /** {@inheritDoc} */
    @Override
    public void connect(
            ChannelHandlerContext context,
            SocketAddress remote,
            SocketAddress local,
            ChannelPromise promise) {
        mUpstream = (InetSocketAddress) remote;
        mPromise = promise;
        if (mPaths.isUnreachable(mUpstream)) {
            promise.tryFailure(new ConnectTimeoutException("not reachable on any path"));
            context.close();
            return;
        }
        mPath = mPaths.select(mUpstream).orElse(null);
        if (mPath == null) {
            connectDirectly(context, local);
            return;
        }
        mNonce = mIdentity.secret().newNonce();
        mTimeout = schedule(context, FORWARDED_TIMEOUT_MILLIS);
        PeerFraming.addTo(context.pipeline(), mIdentity.bytes());
        ChannelPromise connected = context.newPromise();
        connected.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        fail(context, ForwardOutcome.NO_ANSWER, done.cause().toString());
                    }
                });
        InetSocketAddress forwarder = Address.parse(mPath.forwarder().address()).socket();
        context.connect(forwarder, local, connected);
    }

    private void connectDirectly(ChannelHandlerContext context, SocketAddress local) {
        if (mPaths.hasPeers()) {
            mTimeout = schedule(context, DIRECT_TIMEOUT_MILLIS);
        }
        ChannelPromise connected = context.newPromise();
        connected.addListener(done -> onDirect(done.cause()));
        context.connect(mUpstream, local, connected);
    }

    /** Records the outcome of a direct connection before the caller learns of it. */
    private void onDirect(Throwable failure) {
        cancelTimeout();
        if (failure == null) {
            mPaths.recordDirect(mUpstream, null);
            mPromise.trySuccess();
        } else if (!mPromise.isDone()) {
            if (!mClosed) {
                mPaths.recordDirect(mUpstream, failure);
            }
            mPromise.tryFailure(failure);
        }
    }

    private Future<?> schedule(ChannelHandlerContext context, long millis) {
        return context.executor()
                .schedule(() -> onTimeout(context, millis), millis, TimeUnit.MILLISECONDS);
    }

    private void onTimeout(ChannelHandlerContext context, long millis) {
        String detail = "no connection after " + millis + " ms";
        if (mPath != null) {
            fail(context, ForwardOutcome.NO_ANSWER, detail);
        } else if (!mPromise.isDone()) {
            ConnectTimeoutException failure = new ConnectTimeoutException(detail);
            mPaths.recordDirect(mUpstream, failure);
            mPromise.tryFailure(failure);
            context.close();
        }
    }

    private void cancelTimeout() {
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
    }

    private boolean isHandshaking() {
        return mPath != null && !mPromise.isDone();
    }

    /** {@inheritDoc} A forwarded connection becomes active once the upstream's is open. */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (!isHandshaking()) {
            context.fireChannelActive();
            return;
        }
        Member self = mIdentity.self();
        context.writeAndFlush(
                new PeerMessage.Hello(
                        self.incarnation().value(), self.hall().value(), self.address(), mNonce));
        context.read();
    }

    /** {@inheritDoc} */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (isHandshaking()) {
            context.read();
        } else {
            context.fireChannelReadComplete();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mPath == null) {
            context.fireChannelRead(message);
        } else if (message instanceof ByteBuf frame) {
            onFrame(context, frame);
        } else if (message instanceof PeerMessage.Challenge challenge) {
            onChallenge(context, challenge);
        } else if (message instanceof PeerMessage.ConnectResult result) {
            onResult(context, result.outcome());
        }
    }

    private void onChallenge(ChannelHandlerContext context, PeerMessage.Challenge challenge) {
        boolean valid =
                mIdentity.secret().verify(challenge.proof(), "answer", mNonce, challenge.nonce());
        if (!valid || !challenge.forwards()) {
            fail(
                    context,
                    ForwardOutcome.NO_ANSWER,
                    valid ? "connections are not forwarded" : "the secret is not proved");
            return;
        }
        String self = mIdentity.self().incarnation().value();
        String proof = mIdentity.secret().computeProof("caller", challenge.nonce(), mNonce, self);
        context.write(new PeerMessage.Proof(proof));
        context.writeAndFlush(new PeerMessage.Connect(mPath.upstream()));
    }

    private void onResult(ChannelHandlerContext context, ForwardOutcome outcome) {
        if (outcome != ForwardOutcome.OPENED) {
            fail(context, outcome, outcome.toString());
            return;
        }
        cancelTimeout();
        PeerFraming.receiveFramesOnly(context.pipeline());
        mPaths.recordForwarded(mPath, outcome);
        mPromise.trySuccess();
        context.fireChannelActive();
    }

    private void onFrame(ChannelHandlerContext context, ByteBuf frame) {
        if (frame.isReadable()) {
            context.fireChannelRead(frame);
            return;
        }
        frame.release();
        mEndReceived = true;
        context.close();
    }

    /** Fails a forwarded connection that is not open yet. */
    private void fail(ChannelHandlerContext context, ForwardOutcome outcome, String detail) {
        if (mPromise.isDone()) {
            return;
        }
        cancelTimeout();
        String message = "through " + mPath.forwarder().incarnation() + ": " + detail;
        IOException failure =
                outcome == ForwardOutcome.REFUSED
                        ? new ConnectException(message)
                        : new ConnectTimeoutException(message);
        if (!mClosed) {
            mPaths.recordForwarded(mPath, outcome);
        }
        mPromise.tryFailure(failure);
        context.close();
    }

    /** {@inheritDoc} */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        mClosed = true;
        context.close(promise);
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (isHandshaking()) {
            fail(context, ForwardOutcome.NO_ANSWER, "connection closed");
            return;
        }
        if (mPath != null && mPromise.isSuccess() && !mEndReceived) {
            context.fireExceptionCaught(
                    new IOException(
                            "connection through " + mPath.forwarder().incarnation() + " was lost"));
        }
        context.fireChannelInactive();
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (isHandshaking()) {
            fail(context, ForwardOutcome.NO_ANSWER, cause.toString());
        } else {
            context.fireExceptionCaught(cause);
        }
    }
}
