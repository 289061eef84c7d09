package org.troutpier.daemon.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.instancelist.InstanceList.Instance;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMesh;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.serving.EngineUsageReconciler;

/**
 * Exchanges load reports and notices with the other routers, as the {@link RelayPlan} says, and
 * passes configurations to the {@link ConfigurationExchange} and shared tables to the {@link
 * TableExchange}. Confined to the control thread. Invariant: no guarantee depends on it; a router
 * that receives no message serves with what it knows itself.
 */
public final class PeerExchange implements PeerMesh.MessageListener {

    /** State of a running router in an instance list. */
    private static final String ALIVE = "alive";

    /** Interval between checks for silent routers and expired reports, milliseconds. */
    static final long TICK_MILLIS = 250;

    /** Number of ticks after which the plan is computed again although no change is known. */
    private static final int MAX_TICKS_BETWEEN_PLANS = 4;

    private static final Logger LOGGER = LogManager.getLogger(PeerExchange.class);

    private final Node mNode;

    private final ConfigurationExchange mConfigurations;

    private final PeerLoads mLoads;

    private final PeerNoticeListener mNotices;

    private final Membership mMembership;

    private final PeerLinks mLinks;

    private final LoadRelay mRelay;

    private final PeerFailureDetector mFailureDetector = new PeerFailureDetector();

    /** Rows of the table of routers, by instance. */
    private final Map<String, MemberRow> mMemberRows = new HashMap<>();

    private final TableExchange mTables;

    private final OriginExchange mOrigins;

    /** The current plan; replaced on the control thread, read by any thread. */
    private volatile RelayPlan mPlan;

    /** The other routers that may be running; replaced on the control thread. */
    private volatile List<Member> mOthers = List.of();

    /** Whether the table of routers has changed since the last plan. */
    private boolean mMembersChanged;

    /** Whether computing the plan is scheduled. */
    private boolean mPlanScheduled;

    private int mTicksSincePlan;

    /** The connection targets that were connected when the plan was computed. */
    private Set<Incarnation> mConnectedTargets = Set.of();

    /** Callbacks that wait for the relay's answer. */
    private final List<Runnable> mPendingRefreshes = new ArrayList<>();

    /** Number of routers with a current report when it was last logged. */
    private int mLoggedPeerCount;

    /**
     * Creates an exchange and starts to listen.
     *
     * @param address the address to which the other routers connect
     * @param linkFactory creates the links to the others
     * @param decoder decodes configurations of other routers
     * @param loads receives the others' load reports
     * @param notices receives the others' notices
     */
    public PeerExchange(
            Node node,
            Address address,
            PeerLinks.Factory linkFactory,
            CurrentConfiguration configuration,
            ConfigurationDecoder decoder,
            PeerLoads loads,
            PeerNoticeListener notices) {
        mNotices = notices;
        mNode = node;
        mLoads = loads;
        Member self = new Member(node.incarnation(), node.hall(), address.toString(), false);
        mMembership = new Membership(self, node.nanos());
        mPlan = RelayPlan.of(self, List.of(self), member -> 0, router -> false);
        mLinks =
                linkFactory.open(
                        new PeerMesh.Peers(mMembership, () -> mPlan.connectionTargets()), this);
        mConfigurations = new ConfigurationExchange(node, mLinks, configuration, decoder);
        mRelay = new LoadRelay(node, mLinks, loads, () -> mPlan);
        mOrigins = new OriginExchange(node, mLinks, () -> mPlan, mRelay);
        mTables = new TableExchange(node.hall(), mLinks, () -> mPlan, mRelay::groupMembers);
        node.control().scheduleWithFixedDelay(this::tick, TICK_MILLIS);
    }

    /**
     * Updates or removes a router by its row in the table of routers.
     *
     * @param instance the row's key
     * @param row the row, or null where it was deleted
     */
    public void updateMember(InstanceId instance, MemberRow row) {
        MemberRow before =
                row == null
                        ? mMemberRows.remove(instance.value())
                        : mMemberRows.put(instance.value(), row);
        if (before != null && (row == null || !before.incarnation().equals(row.incarnation()))) {
            mConfigurations.forget(new Incarnation(before.incarnation()));
        }
        mMembersChanged = true;
        schedulePlan();
    }

    /** Schedules computing the plan; changes until then share it. */
    private void schedulePlan() {
        if (!mPlanScheduled) {
            mPlanScheduled = true;
            mNode.control().schedule(this::updatePlan, LoadRelay.BATCH_MILLIS);
        }
    }

    private static Instance toInstance(MemberRow row) {
        return new Instance(row.instance(), row.incarnation(), row.peer(), row.hall(), ALIVE);
    }

    /** Returns the exchange of tables that routers read for each other. */
    public TableExchange tables() {
        return mTables;
    }

    /** Sets the records of streams' origins, which are exchanged from now on. */
    public void setOrigins(StreamOrigins origins) {
        mOrigins.setOrigins(origins);
    }

    /** Sends this router's load to the others. */
    public void publishLoad(LoadReport report) {
        mRelay.publish(report);
    }

    /**
     * Announces a refused request to the other routers.
     *
     * @param key the part of its prompt that is not shared with other requests
     */
    public void announceRefusal(String key) {
        mRelay.announceRefusals(List.of(key), true);
    }

    /**
     * Announces a request during which upstreams crashed to the other routers.
     *
     * @param report what is known of it
     */
    public void announceCrash(CrashReport report) {
        mRelay.announceCrashes(List.of(report), true);
    }

    /** Announces to the other routers that an upstream is leaving. */
    public void announceLeaving(UpstreamIncarnation upstream) {
        mRelay.announceLeaving(List.of(upstream), true);
    }

    /**
     * Returns the other routers that may be running. Thread safe.
     *
     * @return those with a current report where routers report to each other directly, all listed
     *     ones otherwise
     */
    public List<Member> others() {
        return mOthers;
    }

    private void updateOthers() {
        Set<Incarnation> reporters = mLoads.reporters(ReportScope.OWN);
        boolean direct = mPlan.direct();
        mOthers =
                mMembership.live().stream()
                        .filter(each -> !isSameStart(each, mMembership.self()))
                        .filter(each -> !direct || reporters.contains(each.incarnation()))
                        .toList();
    }

    /**
     * Returns whether this router reads the store's tables for its hall. Thread safe.
     *
     * @return whether it does; true as long as it knows no other router
     */
    public boolean isTableReader() {
        return mPlan.tableReader();
    }

    /**
     * Returns the engines whose usage this router polls. Thread safe.
     *
     * @return all engines where routers report to each other directly, those of its hall at a
     *     relay, none at other routers
     */
    public EngineUsageReconciler.Scope engineQueryScope() {
        return new EngineQueryScope(() -> mPlan, mNode.hall());
    }

    /**
     * Refreshes the load of the other routers: by aggregating their reports, or by a query to the
     * relay.
     *
     * @param callback runs on the control thread once the load is refreshed; never if the relay
     *     does not answer
     */
    public void refreshLoads(Runnable callback) {
        PeerMessage query = new PeerMessage.LoadAsked();
        boolean sent =
                mPlan.reportTo()
                        .map(relay -> mLinks.send(relay.incarnation(), query))
                        .orElse(false);
        if (sent) {
            mPendingRefreshes.add(callback);
        } else {
            mLoads.aggregateIfOutdated(mNode.millis());
            callback.run();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(Member from, PeerMessage message) {
        mMembership.recordContact(from);
        mFailureDetector.recordContact(from.incarnation(), mNode.millis());
        if (mOrigins.onMessage(from.incarnation(), message)) {
            return;
        }
        if (mPlan.isRelay() && !mLinks.isConnected(from.incarnation())) {
            schedulePlan();
        }
        if (message instanceof PeerMessage.Load load) {
            onLoad(from, load);
        } else if (message instanceof PeerMessage.LoadAsked) {
            mRelay.onLoadRequest(from.incarnation());
        } else if (message instanceof PeerMessage.Configuration offered) {
            mConfigurations.onOffered(from.incarnation(), offered);
        } else if (message instanceof PeerMessage.Refused refused) {
            mNotices.onRequestsRefused(refused.keys());
            forward(from, local -> mRelay.announceRefusals(refused.keys(), local));
        } else if (message instanceof PeerMessage.Crashed crashed) {
            mNotices.onUpstreamsCrashed(crashed.all());
            forward(from, local -> mRelay.announceCrashes(crashed.all(), local));
        } else if (message instanceof PeerMessage.Leaving leaving) {
            mNotices.onUpstreamsLeaving(leaving.upstreams());
            forward(from, local -> mRelay.announceLeaving(leaving.upstreams(), local));
        } else if (message instanceof PeerMessage.Page page) {
            mTables.onPage(page.page());
        } else if (message instanceof PeerMessage.TableAsked request) {
            mTables.onTableRequest(from.incarnation(), request);
        } else if (message instanceof PeerMessage.TableTold state) {
            mTables.onTableState(state);
        }
    }

    /** {@inheritDoc} Its runs have ended with it, so that their memory is free. */
    @Override
    public void onProcessEnded(Incarnation router) {
        if (mLoads.discardOwn(router)) {
            mNode.count("peer.ended");
            mLoads.aggregate(mNode.millis());
            mRelay.onGroupChanged();
        }
    }

    private void onLoad(Member from, PeerMessage.Load load) {
        boolean expected =
                load.scope() != ReportScope.REST
                        || mPlan.reportTo().filter(relay -> isSameStart(relay, from)).isPresent();
        if (expected) {
            boolean changed =
                    mLoads.update(
                            from.incarnation(),
                            from.hall(),
                            load.scope(),
                            load.report(),
                            mNode.millis());
            if (changed && load.scope() != ReportScope.REST) {
                mRelay.onGroupChanged();
            }
            if (load.scope() == ReportScope.REST) {
                onRelayAnswer();
            }
        }
        mConfigurations.onVersion(from.incarnation(), load.report().configuration());
    }

    /** Runs the callbacks that wait for the relay's answer. */
    private void onRelayAnswer() {
        mLoads.aggregateIfOutdated(mNode.millis());
        List<Runnable> callbacks = List.copyOf(mPendingRefreshes);
        mPendingRefreshes.clear();
        callbacks.forEach(Runnable::run);
    }

    /**
     * Forwards a notice where this router is a relay.
     *
     * @param forwarder forwards it; its argument says whether the sender reports to this router, so
     *     that the notice goes to all
     */
    private void forward(Member from, Consumer<Boolean> forwarder) {
        if (mPlan.isRelay()) {
            forwarder.accept(mRelay.groupMembers().contains(from.incarnation()));
        }
    }

    /**
     * Discards expired reports, resends unchanged ones, and computes the plan if its inputs
     * changed.
     */
    private void tick() {
        boolean suspicionChanged = mFailureDetector.update(expectedPeers(), mNode.millis());
        if (suspicionChanged
                || !connectedTargets().equals(mConnectedTargets)
                || ++mTicksSincePlan >= MAX_TICKS_BETWEEN_PLANS) {
            updatePlan();
        }
        mLoads.aggregateIfOutdated(mNode.millis());
        updateOthers();
        mRelay.resendUnchanged();
        if (mLoads.peerCount() != mLoggedPeerCount) {
            LOGGER.info(
                    "number of routers with recent reports changed before={} now={}",
                    mLoggedPeerCount,
                    mLoads.peerCount());
            mLoggedPeerCount = mLoads.peerCount();
        }
    }

    /** Computes the plan and opens its connections. */
    private void updatePlan() {
        mPlanScheduled = false;
        mTicksSincePlan = 0;
        if (mMembersChanged) {
            mMembersChanged = false;
            mMembership.updateListed(
                    mMemberRows.values().stream().map(PeerExchange::toInstance).toList());
        }
        RelayPlan before = mPlan;
        mPlan =
                RelayPlan.of(
                        mMembership.self(),
                        mMembership.live(),
                        this::capacity,
                        router ->
                                mLinks.isConnected(router)
                                        && !mFailureDetector.isSuspected(router));
        mLoads.setCountedScopes(mRelay.countedScopes());
        mLoads.aggregate(mNode.millis());
        mFailureDetector.update(expectedPeers(), mNode.millis());
        boolean relayChanged = !before.reportTo().equals(mPlan.reportTo());
        if (relayChanged) {
            mPendingRefreshes.clear();
        }
        if (relayChanged || before.isRelay() != mPlan.isRelay()) {
            LOGGER.info(
                    "relay plan direct={} relay={} reader={} reportTo={} relays={}",
                    mPlan.direct(),
                    mPlan.isRelay(),
                    mPlan.tableReader(),
                    mPlan.reportTo().map(Member::incarnation).orElse(null),
                    mPlan.relays().size());
        }
        mConnectedTargets = connectedTargets();
        mPlan.connectionTargets().forEach(mLinks::connect);
        mOrigins.updateHolders(mMembership.self(), mMembership.live());
        mRelay.groupMembers().forEach(this::connectTo);
        if (mPlan.isRelay()) {
            mRelay.otherRelays().forEach(this::connectTo);
        }
    }

    private Set<Incarnation> connectedTargets() {
        Set<Incarnation> connected = LoadRelay.incarnations(mPlan.connectionTargets());
        connected.removeIf(router -> !mLinks.isConnected(router));
        return connected;
    }

    /** Opens a connection to a router to which this relay sends reports. */
    private void connectTo(Incarnation router) {
        if (!mLinks.isConnected(router)) {
            mMembership.live().stream()
                    .filter(member -> member.incarnation().equals(router))
                    .forEach(mLinks::connect);
        }
    }

    /**
     * Returns the routers that must send messages regularly.
     *
     * @return the relays of the plan
     */
    private Set<Incarnation> expectedPeers() {
        Set<Incarnation> expected = LoadRelay.incarnations(mPlan.relays());
        mPlan.reportTo().ifPresent(relay -> expected.add(relay.incarnation()));
        return expected;
    }

    /**
     * Returns a router's capacity.
     *
     * @return points of {@link RouterCapacity}; 0 where its row is not known
     */
    private int capacity(Member member) {
        MemberRow row = mMemberRows.get(member.incarnation().instance().value());
        return row == null ? 0 : row.capacity();
    }

    private static boolean isSameStart(Member one, Member other) {
        return one.incarnation().equals(other.incarnation());
    }
}
