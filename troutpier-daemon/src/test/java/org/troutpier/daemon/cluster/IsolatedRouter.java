package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.route.CurrentConfiguration;

/** A router that no other reaches: it records its connection attempts and receives nothing. */
final class IsolatedRouter implements PeerLinks, PeerNoticeListener {

    static final Address ADDRESS = new Address("127.0.0.1", 1);

    /** The routers to which connections were requested. */
    final List<String> mConnected = new ArrayList<>();

    final PeerExchange mExchange;

    IsolatedRouter(Node node) {
        mExchange =
                new PeerExchange(
                        node,
                        ADDRESS,
                        (members, listener) -> this,
                        new CurrentConfiguration(),
                        bytes -> null,
                        new PeerLoads(),
                        this);
    }

    @Override
    public void connect(Member member) {
        mConnected.add(member.incarnation().instance().value());
    }

    @Override
    public boolean isConnected(Incarnation to) {
        return false;
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
        return false;
    }

    @Override
    public void sendAll(Collection<Incarnation> to, PeerMessage message) {}

    @Override
    public void onRequestsRefused(List<String> keys) {}

    @Override
    public void onUpstreamsCrashed(List<CrashReport> reports) {}

    @Override
    public void onUpstreamsLeaving(List<UpstreamIncarnation> upstreams) {}
}
