package org.troutpier.daemon.forward;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.troutpier.common.http.ConnectionMeter;
import org.troutpier.common.http.HttpCall;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.ForwardingHandler;
import org.troutpier.daemon.peer.ForwardingServer;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerSecret;
import org.troutpier.daemon.serving.TrafficLoop;
import org.troutpier.daemon.serving.UpstreamPort.ProbeResult;

/**
 * Opens this router's connections to upstreams, directly or through other routers, and those that
 * it forwards for others. Immutable; thread safe as far as its components are.
 */
public final class UpstreamConnections {

    private final UpstreamPaths mPaths;

    private final ForwardingServer mServer;

    private final HttpClient mCalls;

    private final ConnectionProbe mProbe;

    private final ConnectionMeter mMeter;

    /**
     * Creates the connections of a router.
     *
     * @param loop the event loop that carries traffic
     * @param self this router as a peer
     * @param peers the other routers that may be running; thread safe
     * @param meter measures the connections to upstreams
     */
    public UpstreamConnections(
            Node node,
            EventLoop loop,
            Member self,
            PeerSecret secret,
            UpstreamDirectory directory,
            Supplier<List<Member>> peers,
            ConnectionMeter meter) {
        mMeter = meter;
        mPaths =
                new UpstreamPaths(
                        new TrafficLoop.ForNetty(loop),
                        node.hall(),
                        peers,
                        RandomGenerator.getDefault(),
                        node.metrics());
        ForwardingHandler.Identity identity =
                new ForwardingHandler.Identity(
                        self, secret, node.metrics().counter("forward.sent.bytes"));
        mCalls = new HttpClient(node.loops(), channel -> addHandler(channel, identity));
        mProbe = new ConnectionProbe(loop, channel -> addHandler(channel, identity));
        mServer = new ForwardingServer(node, upstream -> reachableAddress(directory, upstream));
        ConnectionProbe direct = new ConnectionProbe(loop, channel -> {});
        mPaths.setProbe(
                (upstream, listener) ->
                        direct.probe(
                                upstream.address(),
                                result -> listener.accept(result == ProbeResult.LISTENING)));
    }

    private void addHandler(Channel channel, ForwardingHandler.Identity identity) {
        channel.pipeline().addFirst(new ForwardingHandler(mPaths, identity));
        mMeter.install(channel);
    }

    /** Returns the address of an upstream that this router lists and reaches itself. */
    private Optional<Address> reachableAddress(
            UpstreamDirectory directory, UpstreamIncarnation upstream) {
        return mPaths.isReachable(upstream)
                ? directory.find(upstream).map(UpstreamEntry::address)
                : Optional.empty();
    }

    /** Returns the client whose connections take the paths to upstreams. */
    public HttpClient calls() {
        return mCalls;
    }

    /**
     * Returns a call that uses a connection of its own if that is forwarded. A router that stops
     * waits for the connections that it forwards, and cannot tell that one is only kept for later.
     */
    public HttpCall notKeptIfForwarded(HttpCall call, UpstreamEntry upstream) {
        return mPaths.isReachable(upstream.incarnation()) ? call : call.withFreshConnection();
    }

    /** Returns the probe whose connections take the paths to upstreams. */
    public ConnectionProbe probe() {
        return mProbe;
    }

    /** Returns the paths to the upstreams. */
    public UpstreamPaths paths() {
        return mPaths;
    }

    /** Returns the server of the other routers' connections. */
    public ForwardingServer server() {
        return mServer;
    }
}
