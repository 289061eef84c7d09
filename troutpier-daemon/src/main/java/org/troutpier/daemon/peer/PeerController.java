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
 * Controls how this router takes part in the cluster: sends heartbeats, follows the instance list,
 * answers configuration changes, and fences this router after a pause or while it is isolated.
 * Confined to the control thread, except {@link #isStalled()}. Invariant: a router that may have
 * missed a change accepts no new work until it has read the latest version.
 */
public final class PeerController {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 400;

    private static final long TICK_INTERVAL_MILLIS = 100;

    private static final long LIST_INTERVAL_MILLIS = 500;

    /** Interval at which the latest version is requested from the platform's table. */
    private static final long PULL_INTERVAL_MILLIS = 5000;

    /** Interval at which a router that is fenced or not ready requests the latest version. */
    private static final long REVALIDATE_INTERVAL_MILLIS = 250;

    /** Longest pause of the control thread that does not fence the router. */
    private static final long MAX_PAUSE_NANOS = 1_200_000_000L;

    /**
     * Longest time without any answer from peers and the platform that does not fence the router.
     */
    private static final long ISOLATION_TIMEOUT_NANOS = 1_500_000_000L;

    private final Node mNode;

    private final Membership mMembership;

    private final Readiness mReadiness;

    private final InstanceList mInstances;

    private final ConfigurationRegistry mConfigurations;

    private PeerMesh mMesh;

    private ChangeProposer mProposer;

    /** Decode permits; empty if they are not assigned by coordinators. */
    private Optional<CoordinatorPermits> mPermits = Optional.empty();

    private LeavingListener mLeavingListener = (id, leaving) -> {};

    /** Time of the last {@link #tick()}, nanoseconds on the monotonic clock. */
    private volatile long mTickAt;

    /** Time of the last answer of any part of the platform, nanoseconds on the monotonic clock. */
    private long mPlatformAnsweredAt;

    /** Whether the initial version has been requested. */
    private boolean mInitialPullSent;

    private boolean mHeardAnyPeer;

    /** Time of the last message of any other router, nanoseconds on the monotonic clock. */
    private long mPeerHeardAt;

    /** Versions that other routers reported as in force. */
    private final Map<Incarnation, Long> mVersions = new HashMap<>();

    /** Receives the state of the upstreams in the instance list. */
    public interface LeavingListener {

        /**
         * Called for each upstream whenever the list has been read.
         *
         * @param id the upstream
         * @param leaving whether the list shows it as leaving
         */
        void onUpstream(UpstreamId id, boolean leaving);
    }

    /**
     * Creates a controller, which does nothing until {@link #start} is called.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param membership the other routers
     * @param readiness whether this router accepts new work
     * @param instances the platform's instance list
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
        mPlatformAnsweredAt = mTickAt;
    }

    /**
     * Starts the periodic tasks.
     *
     * @param mesh sends messages
     * @param proposer coordinates configuration changes
     * @param permits decode permits; empty if they are not assigned by coordinators
     * @param leaving receives the state of upstreams in the instance list
     */
    public void start(
            PeerMesh mesh,
            ChangeProposer proposer,
            Optional<CoordinatorPermits> permits,
            LeavingListener leaving) {
        mMesh = mesh;
        mProposer = proposer;
        mPermits = permits;
        mLeavingListener = leaving;
        mNode.control().scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS);
        mNode.control().scheduleWithFixedDelay(this::sendHeartbeat, HEARTBEAT_INTERVAL_MILLIS);
        mNode.control().scheduleWithFixedDelay(this::requestInstanceList, LIST_INTERVAL_MILLIS);
        mNode.control().scheduleWithFixedDelay(this::pull, PULL_INTERVAL_MILLIS);
        mNode.control().scheduleWithFixedDelay(this::revalidate, REVALIDATE_INTERVAL_MILLIS);
        mNode.control().execute(this::requestInstanceList);
    }

    /**
     * Returns whether the control thread has not run for too long. The process may just have been
     * resumed with outdated state, and must accept no new work. Thread safe.
     */
    public boolean isStalled() {
        return mNode.nanos().getAsLong() - mTickAt > MAX_PAUSE_NANOS;
    }

    /**
     * Fences this router after a pause or while it is isolated, and requests the initial version
     * once all listed routers are connected.
     */
    private void tick() {
        long now = mNode.nanos().getAsLong();
        if (now - mTickAt > MAX_PAUSE_NANOS) {
            mNode.count("fence.paused");
            mReadiness.fence("was paused");
        }
        mTickAt = now;
        boolean platformSilent = now - mPlatformAnsweredAt > ISOLATION_TIMEOUT_NANOS;
        if (mHeardAnyPeer
                && platformSilent
                && now - mPeerHeardAt > ISOLATION_TIMEOUT_NANOS
                && expectsPeers()) {
            mNode.count("fence.alone");
            mReadiness.fence("hears neither peers nor the platform");
        }
        requestInitialVersion();
    }

    /** Returns whether any other router is known to be live. */
    private boolean expectsPeers() {
        return mMembership.live().size() > 1;
    }

    /**
     * Requests the initial version once the list shows this router and every router in the list has
     * connected to it. A change that is proposed later then reaches this router, since its proposer
     * knows of it. Without a list there is no start, since nothing else says which routers must
     * know of this one.
     */
    private void requestInitialVersion() {
        if (!mInitialPullSent && mMembership.isSelfListed() && isConnectedToAll()) {
            mInitialPullSent = true;
            revalidateNow();
        }
    }

    /**
     * Returns whether every live router is connected in both directions: it is connected to from
     * here, and a heartbeat of it still counts.
     */
    private boolean isConnectedToAll() {
        return mMembership.live().stream()
                .map(Member::incarnation)
                .filter(incarnation -> !incarnation.equals(mNode.incarnation()))
                .allMatch(
                        incarnation ->
                                mMesh.isConnected(incarnation)
                                        && mMembership.heardRecently(incarnation));
    }

    private void sendHeartbeat() {
        mMesh.connect();
        mMembership.evictSilent();
        mMesh.broadcast(
                new PeerMessage.Heartbeat(
                        mNode.events().clock().next(),
                        mConfigurations.current().version(),
                        mReadiness.isStopping(),
                        mReadiness.isFenced()));
    }

    private void requestInstanceList() {
        mInstances
                .list()
                .whenComplete(
                        (instances, failure) ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        onInstanceList(instances);
                                                    } else {
                                                        mNode.count("platform.list-away");
                                                    }
                                                }));
    }

    private void onInstanceList(List<InstanceList.Instance> instances) {
        mPlatformAnsweredAt = mNode.nanos().getAsLong();
        mMembership.updateListed(instances);
        mMesh.connect();
        for (InstanceList.Instance instance : instances) {
            if (!instance.router()) {
                mLeavingListener.onUpstream(new UpstreamId(instance.id()), instance.leaving());
            }
        }
    }

    private void pull() {
        mConfigurations
                .refresh()
                .thenAccept(
                        answered -> {
                            if (answered) {
                                mNode.control().execute(this::recordPlatformAnswer);
                            }
                        });
    }

    private void recordPlatformAnswer() {
        mPlatformAnsweredAt = mNode.nanos().getAsLong();
    }

    private void revalidate() {
        if (mInitialPullSent && (mReadiness.isFenced() || mReadiness.obstacle().isPresent())) {
            revalidateNow();
        }
    }

    /** Requests the latest version from the table or, if that does not answer, from all peers. */
    private void revalidateNow() {
        mConfigurations
                .refresh()
                .thenAccept(
                        answered ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    if (answered) {
                                                        recordPlatformAnswer();
                                                        mConfigurations.onValidated("table");
                                                    } else {
                                                        pullFromPeers();
                                                    }
                                                }));
    }

    private void pullFromPeers() {
        mMesh.broadcast(new PeerMessage.Pull(mConfigurations.current().version()));
    }

    /**
     * Handles a message of another router.
     *
     * @param from the sender
     */
    public void onMessage(Member from, PeerMessage message) {
        mHeardAnyPeer = true;
        mPeerHeardAt = mNode.nanos().getAsLong();
        Incarnation sender = from.incarnation();
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(from, heartbeat);
        } else if (message instanceof PeerMessage.PermitAsk ask) {
            mPermits.ifPresent(permits -> permits.onAsk(sender, ask));
        } else if (message instanceof PeerMessage.PermitReport report) {
            mPermits.ifPresent(permits -> permits.onReport(sender, report));
        } else if (message instanceof PeerMessage.PermitGrant grant) {
            mPermits.ifPresent(permits -> permits.onGrant(sender, grant));
        } else if (message instanceof PeerMessage.PermitRecall recall) {
            UpstreamId engine = new UpstreamId(recall.engine());
            mPermits.ifPresent(permits -> permits.returnIdle(engine));
        } else if (message instanceof PeerMessage.Prepare prepare) {
            mMesh.send(sender, new PeerMessage.Prepared(prepare.change(), obstacle(prepare)));
        } else if (message instanceof PeerMessage.Prepared prepared) {
            mProposer.onPrepared(sender, prepared);
        } else if (message instanceof PeerMessage.Activate activate) {
            onActivate(sender, activate);
        } else if (message instanceof PeerMessage.Activated activated) {
            mProposer.onActivated(sender, activated);
        } else if (message instanceof PeerMessage.Pull pull) {
            answerPull(sender, pull);
        }
    }

    private void onHeartbeat(Member from, PeerMessage.Heartbeat heartbeat) {
        mNode.events().clock().observe(heartbeat.stamp());
        Member now =
                new Member(from.incarnation(), from.hall(), from.address(), heartbeat.leaving());
        mMembership.recordContact(now);
        mVersions.put(from.incarnation(), heartbeat.version());
        mVersions.keySet().removeIf(mMembership::isGone);
        if (heartbeat.version() > mConfigurations.current().version()) {
            mMesh.send(
                    from.incarnation(), new PeerMessage.Pull(mConfigurations.current().version()));
        }
    }

    /** Returns why a change cannot be put in force here, or an empty text if it can. */
    private String obstacle(PeerMessage.Prepare prepare) {
        Declarations current = mConfigurations.current();
        if (mReadiness.isFenced()) {
            return "fenced";
        }
        if (prepare.next().version() <= current.version()
                && !prepare.next().changeId().equals(current.changeId())) {
            return "has version " + current.version() + " already";
        }
        return "";
    }

    /**
     * Puts a committed change in force. An empty change id marks the answer to a {@link
     * PeerMessage.Pull}, which is not acknowledged.
     */
    private void onActivate(Incarnation from, PeerMessage.Activate activate) {
        mConfigurations.adopt(activate.next(), "peer " + from.instance());
        boolean answersPull = activate.change().isEmpty();
        if (answersPull) {
            mConfigurations.onValidated("peer " + from.instance());
        } else {
            long version = mConfigurations.current().version();
            mMesh.send(from, new PeerMessage.Activated(activate.change(), version));
        }
    }

    /**
     * Sends the declarations in force to a router that requested them, unless this router may be
     * outdated itself and has nothing newer.
     */
    private void answerPull(Incarnation to, PeerMessage.Pull pull) {
        if (mReadiness.obstacle().isEmpty()
                || mConfigurations.current().version() > pull.version()) {
            mMesh.send(to, new PeerMessage.Activate("", mConfigurations.current()));
        }
    }

    /**
     * Returns the version that each router has in force, as far as it is known, this router
     * included.
     */
    public Map<Incarnation, Long> configurationVersions() {
        Map<Incarnation, Long> versions = new HashMap<>(mVersions);
        versions.put(mNode.incarnation(), mConfigurations.current().version());
        return versions;
    }
}
