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
    private final List<String> mQuestions = new ArrayList<>();

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
                        .filter(mLinks::tracksStreams)
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
        if (mQuestions.isEmpty()) {
            mNode.control().execute(this::flushQuestions);
        }
        mQuestions.add(attempt.value());
    }

    private void flushQuestions() {
        PeerMessage question =
                new PeerMessage.OriginAsked(mNode.incarnation().value(), List.copyOf(mQuestions));
        mQuestions.clear();
        sendAll(mRelay.broadcastTargets(), question);
    }

    private void sendAll(Collection<Incarnation> routers, PeerMessage message) {
        Set<Incarnation> tracking = new HashSet<>(routers);
        tracking.removeIf(router -> !mLinks.tracksStreams(router));
        mLinks.sendAll(tracking, message);
    }

    /**
     * Handles a message about origins.
     *
     * @return whether the message is one
     */
    boolean onMessage(Incarnation from, PeerMessage message) {
        if (message instanceof PeerMessage.StreamsBegun begun) {
            onBegun(begun);
        } else if (message instanceof PeerMessage.OriginAsked question) {
            onQuestion(from, question);
        } else if (message instanceof PeerMessage.OriginTold answer) {
            onAnswer(from, answer);
        } else {
            return false;
        }
        return true;
    }

    private void onBegun(PeerMessage.StreamsBegun begun) {
        if (mOrigins != null) {
            StreamOrigin origin = origin(begun.service(), begun.version());
            begun.attempts().forEach(each -> mOrigins.onAnnounced(new RequestId(each), origin));
        }
    }

    private void onQuestion(Incarnation from, PeerMessage.OriginAsked question) {
        if (mPlan.get().isRelay()) {
            Set<Incarnation> targets =
                    mRelay.groupMembers().contains(from)
                            ? mRelay.broadcastTargets()
                            : mRelay.groupMembers();
            targets = new HashSet<>(targets);
            targets.remove(from);
            sendAll(targets, question);
        }
        if (mOrigins == null) {
            return;
        }
        Map<StreamOrigin, List<String>> known = new LinkedHashMap<>();
        for (String attempt : question.attempts()) {
            mOrigins.find(new RequestId(attempt))
                    .ifPresent(
                            origin ->
                                    known.computeIfAbsent(origin, each -> new ArrayList<>())
                                            .add(attempt));
        }
        known.forEach(
                (origin, attempts) ->
                        sendToAsker(
                                new PeerMessage.OriginTold(
                                        question.asker(),
                                        origin.service(),
                                        origin.version().value(),
                                        attempts),
                                true));
    }

    private void onAnswer(Incarnation from, PeerMessage.OriginTold answer) {
        if (!answer.asker().equals(mNode.incarnation().value())) {
            sendToAsker(answer, mRelay.groupMembers().contains(from));
        } else if (mOrigins != null) {
            StreamOrigin origin = origin(answer.service(), answer.version());
            answer.attempts().forEach(each -> mOrigins.onAnswer(new RequestId(each), origin));
        }
    }

    /**
     * Sends an answer to the router that asked, over the relays if there is no connection to it.
     *
     * @param local whether it comes from this router or one that reports to it
     */
    private void sendToAsker(PeerMessage.OriginTold answer, boolean local) {
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

    private static StreamOrigin origin(String service, String version) {
        return new StreamOrigin(service, new SoftwareVersion(version));
    }
}
