package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.id.SoftwareVersion;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.resume.OriginPeers;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.resume.StreamOrigins;

/**
 * Exchanges the origins of streams with the other routers. Each origin is announced to a few
 * routers in other halls, before the stream's first event is relayed; where the origin of a resumed
 * stream is needed, all routers are asked, over the relays where there are many. So the number of
 * messages for each stream does not depend on the size of the fleet, and only resumed streams whose
 * origin is not recorded here cost a message to each router. Confined to the control thread.
 */
final class OriginExchange implements OriginPeers {

    private final Node mNode;

    private final PeerLinks mLinks;

    private final Supplier<RelayPlan> mPlan;

    private final LoadRelay mRelay;

    /** The records, or null before they are set. */
    private StreamOrigins mOrigins;

    /** The routers that record the origins of this router's streams, the preferred ones first. */
    private List<Member> mHolders = List.of();

    /** Attempts to be announced, by their origin. */
    private final Map<StreamOrigin, List<String>> mAnnouncements = new LinkedHashMap<>();

    /** Attempts whose origins are to be asked for. */
    private final List<String> mQueries = new ArrayList<>();

    /**
     * Creates an exchange.
     *
     * @param plan supplies the current plan
     * @param relay supplies the routers that messages to all are sent to
     */
    OriginExchange(Node node, PeerLinks links, Supplier<RelayPlan> plan, LoadRelay relay) {
        mNode = node;
        mLinks = links;
        mPlan = plan;
        mRelay = relay;
    }

    /** Sets the records, for which this is the connection to the other routers. */
    void setOrigins(StreamOrigins origins) {
        mOrigins = origins;
        origins.setPeers(this);
    }

    /**
     * Selects the routers that record the origins of this router's streams, and connects to them.
     *
     * @param live all routers that may be running
     */
    void updateHolders(Member self, List<Member> live) {
        if (mOrigins != null) {
            mHolders = OriginHolders.rank(self, live);
            mHolders.forEach(mLinks::connect);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void announce(RequestId attempt, StreamOrigin origin) {
        if (mAnnouncements.isEmpty()) {
            mNode.control().execute(this::flushAnnouncements);
        }
        mAnnouncements.computeIfAbsent(origin, each -> new ArrayList<>()).add(attempt.value());
    }

    private void flushAnnouncements() {
        List<Incarnation> holders =
                mHolders.stream()
                        .map(Member::incarnation)
                        .filter(mLinks::acceptsOrigins)
                        .limit(OriginHolders.COUNT)
                        .toList();
        mAnnouncements.forEach(
                (origin, attempts) ->
                        mLinks.sendAll(
                                holders,
                                new PeerMessage.StreamsBegun(
                                        origin.service(),
                                        origin.version().value(),
                                        List.copyOf(attempts))));
        mAnnouncements.clear();
    }

    /** {@inheritDoc} */
    @Override
    public void ask(RequestId attempt) {
        if (mQueries.isEmpty()) {
            mNode.control().execute(this::flushQueries);
        }
        mQueries.add(attempt.value());
    }

    private void flushQueries() {
        PeerMessage query =
                new PeerMessage.OriginQuery(mNode.incarnation().value(), List.copyOf(mQueries));
        mQueries.clear();
        sendAll(mRelay.broadcastTargets(), query);
    }

    private void sendAll(Collection<Incarnation> routers, PeerMessage message) {
        Set<Incarnation> accepting = new HashSet<>(routers);
        accepting.removeIf(router -> !mLinks.acceptsOrigins(router));
        mLinks.sendAll(accepting, message);
    }

    /**
     * Handles a message about origins.
     *
     * @return whether the message is one
     */
    boolean onMessage(Incarnation from, PeerMessage message) {
        if (message instanceof PeerMessage.StreamsBegun begun) {
            onBegun(begun);
        } else if (message instanceof PeerMessage.OriginQuery query) {
            onQuery(from, query);
        } else if (message instanceof PeerMessage.OriginAnswer answer) {
            onAnswer(from, answer);
        } else {
            return false;
        }
        return true;
    }

    private void onBegun(PeerMessage.StreamsBegun begun) {
        if (mOrigins != null) {
            StreamOrigin origin = toOrigin(begun.service(), begun.version());
            begun.attempts().forEach(each -> mOrigins.onAnnounced(new RequestId(each), origin));
        }
    }

    private void onQuery(Incarnation from, PeerMessage.OriginQuery query) {
        forward(from, query);
        if (mOrigins == null) {
            return;
        }
        Map<StreamOrigin, List<String>> known = new LinkedHashMap<>();
        for (String attempt : query.attempts()) {
            mOrigins.find(new RequestId(attempt))
                    .ifPresent(
                            origin ->
                                    known.computeIfAbsent(origin, each -> new ArrayList<>())
                                            .add(attempt));
        }
        known.forEach(
                (origin, attempts) ->
                        sendToAsker(
                                new PeerMessage.OriginAnswer(
                                        query.asker(),
                                        origin.service(),
                                        origin.version().value(),
                                        attempts),
                                true));
    }

    /** Forwards a query where this router is a relay: to all if it comes from a member. */
    private void forward(Incarnation from, PeerMessage.OriginQuery query) {
        if (mPlan.get().isRelay()) {
            Set<Incarnation> members = mRelay.groupMembers();
            Set<Incarnation> targets =
                    new HashSet<>(members.contains(from) ? mRelay.broadcastTargets() : members);
            targets.remove(from);
            sendAll(targets, query);
        }
    }

    private void onAnswer(Incarnation from, PeerMessage.OriginAnswer answer) {
        if (!answer.asker().equals(mNode.incarnation().value())) {
            sendToAsker(answer, mRelay.groupMembers().contains(from));
        } else if (mOrigins != null) {
            StreamOrigin origin = toOrigin(answer.service(), answer.version());
            answer.attempts().forEach(each -> mOrigins.onAnswer(new RequestId(each), origin));
        }
    }

    /**
     * Sends an answer to the router that asked, over the relays if there is no connection to it.
     *
     * @param local whether it comes from this router or one that reports to it
     */
    private void sendToAsker(PeerMessage.OriginAnswer answer, boolean local) {
        Incarnation asker = new Incarnation(answer.asker());
        if (mLinks.send(asker, answer)) {
            return;
        }
        if (mPlan.get().isRelay()) {
            sendAll(local ? mRelay.otherRelays() : Set.of(), answer);
        } else if (local) {
            mPlan.get()
                    .reportTo()
                    .ifPresent(relay -> sendAll(List.of(relay.incarnation()), answer));
        }
    }

    private static StreamOrigin toOrigin(String service, String version) {
        return new StreamOrigin(service, new SoftwareVersion(version));
    }
}
