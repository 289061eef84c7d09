package org.troutpier.daemon.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.admission.CoordinatorPermits;
import org.troutpier.daemon.configuration.ChangeProposer;
import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.instancelist.InstanceList;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.peer.Membership.Member;

/**
 * What this router does about the others: heartbeats, following the instance list, answering
 * changes, and fencing itself when it was paused or has lost everybody. Confined to the control
 * thread, but for {@link #isStalled()}. Invariant: a router that may have been left out of a change
 * takes no new work until it has read the latest version.
 */
public final class PeerController {

    /** How often heartbeats are sent, milliseconds. */
    private static final long BEAT_MILLIS = 400;

    /** How often the control thread looks at its own clock, milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** How often the instance list is asked for, milliseconds. */
    private static final long LIST_MILLIS = 500;

    /** How often the table is asked for the latest version, milliseconds. */
    private static final long PULL_MILLIS = 5000;

    /** How often a fenced router asks for the latest version, milliseconds. */
    private static final long REVALIDATE_MILLIS = 250;

    /** How long a pause may be without a fence, nanoseconds. */
    private static final long PAUSE_NANOS = 1_200_000_000L;

    /** How long everybody may be silent without a fence, nanoseconds. */
    private static final long ALONE_NANOS = 1_500_000_000L;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Who the others are. */
    private final Membership mMembership;

    /** Whether this router takes new work. */
    private final Readiness mReadiness;

    /** The platform's list. */
    private final InstanceList mInstances;

    /** The declarations in force. */
    private final ConfigurationRegistry mConfigurations;

    /** Sends messages. */
    private PeerMesh mMesh;

    /** Carries changes through. */
    private ChangeProposer mProposer;

    /** The permits, where they come from coordinators. */
    private Optional<CoordinatorPermits> mPermits = Optional.empty();

    /** Receives the upstreams that the list shows as leaving. */
    private LeavingListener mLeaving = (id, leaving) -> {};

    /** When the control thread last looked at the clock. */
    private volatile long mTickAt;

    /** When a part of the platform answered last. */
    private long mPlatformAt;

    /** Whether the first version was asked for. */
    private boolean mBegun;

    /** Whether other routers were ever heard. */
    private boolean mHadPeers;

    /** When any other router was heard last. */
    private long mPeersAt;

    /** The versions that others said to have in force. */
    private final Map<Incarnation, Long> mVersions = new HashMap<>();

    /** Receives the upstreams that the list shows as leaving. */
    public interface LeavingListener {

        /**
         * Receives one.
         *
         * @param id the upstream
         * @param leaving whether it is leaving
         */
        void onUpstream(UpstreamId id, boolean leaving);
    }

    /**
     * Creates the logic; {@link #start} sets it going.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param membership who the others are
     * @param readiness whether this router takes new work
     * @param instances the platform's list
     * @param configurations the declarations in force
     */
    public PeerController(
            Node node,
            Membership membership,
            Readiness readiness,
            InstanceList instances,
            ConfigurationRegistry configurations) {
        mNode = node;
        mMembership = membership;
        mReadiness = readiness;
        mInstances = instances;
        mConfigurations = configurations;
        mTickAt = node.nanos().getAsLong();
        mPlatformAt = mTickAt;
    }

    /**
     * Sets the logic going.
     *
     * @param mesh sends messages
     * @param proposer carries changes through
     * @param permits the permits, where they come from coordinators
     * @param leaving hears of upstreams that the list shows as leaving
     */
    public void start(
            PeerMesh mesh,
            ChangeProposer proposer,
            Optional<CoordinatorPermits> permits,
            LeavingListener leaving) {
        mMesh = mesh;
        mProposer = proposer;
        mPermits = permits;
        mLeaving = leaving;
        mNode.control().every(this::tick, TICK_MILLIS);
        mNode.control().every(this::beat, BEAT_MILLIS);
        mNode.control().every(this::askList, LIST_MILLIS);
        mNode.control().every(this::pull, PULL_MILLIS);
        mNode.control().every(this::revalidate, REVALIDATE_MILLIS);
        mNode.control().execute(this::askList);
    }

    /**
     * Returns whether the control thread has not looked at the clock for too long: the process may
     * just have been woken, and what it knows may be old. May be called from any thread.
     *
     * @return whether to take no new work
     */
    public boolean isStalled() {
        return mNode.nanos().getAsLong() - mTickAt > PAUSE_NANOS;
    }

    /** Notices pauses and loneliness, and begins once the listed routers are connected. */
    private void tick() {
        long now = mNode.nanos().getAsLong();
        if (now - mTickAt > PAUSE_NANOS) {
            mNode.count("fence.paused");
            mReadiness.fence("was paused");
        }
        mTickAt = now;
        boolean platformSilent = now - mPlatformAt > ALONE_NANOS;
        if (mHadPeers && platformSilent && now - mPeersAt > ALONE_NANOS && expectsPeers()) {
            mNode.count("fence.alone");
            mReadiness.fence("hears neither peers nor the platform");
        }
        begin();
    }

    /**
     * Returns whether there should be other routers.
     *
     * @return whether the last list showed some
     */
    private boolean expectsPeers() {
        return mMembership.live().size() > 1;
    }

    /**
     * Asks for the first version once the list shows this router and every router in it has
     * answered, so that no change can pass this router by: who proposes one later knows of it.
     * Without a list there is no start, as nothing else says who must know.
     */
    private void begin() {
        if (!mBegun && mMembership.isSelfListed() && allKnowThis()) {
            mBegun = true;
            revalidateNow();
        }
    }

    /**
     * Returns whether every live router has connected back, and so knows this one.
     *
     * @return whether each was heard on a connection of its own
     */
    private boolean allKnowThis() {
        return mMembership.live().stream()
                .map(Member::incarnation)
                .filter(incarnation -> !incarnation.equals(mNode.incarnation()))
                .allMatch(
                        incarnation ->
                                mMesh.isConnected(incarnation)
                                        && mMembership.heardRecently(incarnation));
    }

    /** Sends a heartbeat to every router. */
    private void beat() {
        mMesh.connect();
        mMembership.forget();
        mMesh.broadcast(
                new PeerMessage.Heartbeat(
                        mNode.events().clock().next(),
                        mConfigurations.current().version(),
                        mReadiness.isStopping(),
                        mReadiness.fenced()));
    }

    /** Asks for the instance list. */
    private void askList() {
        mInstances
                .list()
                .whenComplete(
                        (instances, failure) ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        listed(instances);
                                                    } else {
                                                        mNode.count("platform.list-away");
                                                    }
                                                }));
    }

    /**
     * Takes an instance list.
     *
     * @param instances the list
     */
    private void listed(List<InstanceList.Instance> instances) {
        mPlatformAt = mNode.nanos().getAsLong();
        mMembership.updateListed(instances);
        mMesh.connect();
        for (InstanceList.Instance instance : instances) {
            if (!instance.router()) {
                mLeaving.onUpstream(new UpstreamId(instance.id()), instance.leaving());
            }
        }
    }

    /** Asks the table for the latest version. */
    private void pull() {
        mConfigurations
                .pull()
                .thenAccept(
                        answered -> {
                            if (answered) {
                                mNode.control().execute(this::platformAnswered);
                            }
                        });
    }

    /** Takes note that a part of the platform answered. */
    private void platformAnswered() {
        mPlatformAt = mNode.nanos().getAsLong();
    }

    /** Asks for the latest version while this router may not have it. */
    private void revalidate() {
        if (mBegun && (mReadiness.fenced() || mReadiness.obstacle().isPresent())) {
            revalidateNow();
        }
    }

    /** Asks the table and, where that is away, the peers. */
    private void revalidateNow() {
        mConfigurations
                .pull()
                .thenAccept(
                        answered ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (answered) {
                                                        platformAnswered();
                                                        mConfigurations.validated("table");
                                                    } else {
                                                        askPeers();
                                                    }
                                                }));
    }

    /** Asks every peer for its declarations. */
    private void askPeers() {
        mMesh.broadcast(new PeerMessage.Pull(mConfigurations.current().version()));
    }

    /**
     * Takes a message from another router.
     *
     * @param from who sent it
     * @param message the message
     */
    public void onMessage(Member from, PeerMessage message) {
        mHadPeers = true;
        mPeersAt = mNode.nanos().getAsLong();
        Incarnation sender = from.incarnation();
        if (message instanceof PeerMessage.Heartbeat beat) {
            heartbeat(from, beat);
        } else if (message instanceof PeerMessage.PermitAsk ask) {
            mPermits.ifPresent(permits -> permits.asked(sender, ask));
        } else if (message instanceof PeerMessage.PermitReport report) {
            mPermits.ifPresent(permits -> permits.reported(sender, report));
        } else if (message instanceof PeerMessage.PermitGrant grant) {
            mPermits.ifPresent(permits -> permits.granted(sender, grant));
        } else if (message instanceof PeerMessage.PermitRecall recall) {
            UpstreamId engine = new UpstreamId(recall.engine());
            mPermits.ifPresent(permits -> permits.recalled(engine));
        } else if (message instanceof PeerMessage.Prepare prepare) {
            mMesh.send(sender, new PeerMessage.Prepared(prepare.change(), obstacle(prepare)));
        } else if (message instanceof PeerMessage.Prepared prepared) {
            mProposer.prepared(sender, prepared);
        } else if (message instanceof PeerMessage.Activate activate) {
            activate(sender, activate);
        } else if (message instanceof PeerMessage.Activated activated) {
            mProposer.activated(sender, activated);
        } else if (message instanceof PeerMessage.Pull pull) {
            answerPull(sender, pull);
        }
    }

    /**
     * Takes a heartbeat.
     *
     * @param from who sent it
     * @param beat the heartbeat
     */
    private void heartbeat(Member from, PeerMessage.Heartbeat beat) {
        mNode.events().clock().observe(beat.stamp());
        Member now = new Member(from.incarnation(), from.hall(), from.address(), beat.leaving());
        mMembership.recordContact(now);
        mVersions.put(from.incarnation(), beat.version());
        mVersions.keySet().removeIf(mMembership::isGone);
        if (beat.version() > mConfigurations.current().version()) {
            mMesh.send(
                    from.incarnation(), new PeerMessage.Pull(mConfigurations.current().version()));
        }
    }

    /**
     * Says why a change could not be put in force here.
     *
     * @param prepare the change
     * @return the reason, empty where it could
     */
    private String obstacle(PeerMessage.Prepare prepare) {
        Declarations current = mConfigurations.current();
        if (mReadiness.fenced()) {
            return "fenced";
        }
        if (prepare.next().version() <= current.version()
                && !prepare.next().changeId().equals(current.changeId())) {
            return "has version " + current.version() + " already";
        }
        return "";
    }

    /**
     * Puts a committed change in force.
     *
     * @param from who says so
     * @param activate the change
     */
    private void activate(Incarnation from, PeerMessage.Activate activate) {
        mConfigurations.adopt(activate.next(), "peer " + from.instance());
        boolean answersPull = activate.change().isEmpty();
        if (answersPull) {
            mConfigurations.validated("peer " + from.instance());
        } else {
            long version = mConfigurations.current().version();
            mMesh.send(from, new PeerMessage.Activated(activate.change(), version));
        }
    }

    /**
     * Answers a router that asks for the declarations in force, unless this one is unsure itself.
     *
     * @param to who asks
     * @param pull what it has
     */
    private void answerPull(Incarnation to, PeerMessage.Pull pull) {
        if (mReadiness.obstacle().isEmpty()
                || mConfigurations.current().version() > pull.version()) {
            mMesh.send(to, new PeerMessage.Activate("", mConfigurations.current()));
        }
    }

    /**
     * Tells which version each router has in force, as far as is known.
     *
     * @return versions by router, this one included
     */
    public Map<Incarnation, Long> configurationVersions() {
        Map<Incarnation, Long> versions = new HashMap<>(mVersions);
        versions.put(mNode.incarnation(), mConfigurations.current().version());
        return versions;
    }
}
