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
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.instancelist.InstanceList.Instance;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMesh;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.quarantine.CrashReport;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.serving.EngineUsageReconciler;

/**
 * Tells the other routers of this one's load and receives theirs, as the {@link RelayPlan} says;
 * hands a newer configuration to a router that has an older one, so that a router which the store
 * turns away still follows; hands what it hears of tables to the {@link TableExchange}. Confined to
 * the control thread. Invariant: nothing here is needed for a promise; a router that receives
 * nobody serves by what it knows itself.
 */
public final class PeerExchange implements PeerMesh.MessageListener {

    /** The state of a router that runs, in the instance list's words. */
    private static final String ALIVE = "alive";

    /** How long a router is not sent the same version again, milliseconds. */
    private static final long RESEND_MILLIS = 500;

    /**
     * How long a router has an older version before it is handed the one in force, milliseconds: a
     * few calls of the store, and with the pause between two reports well under the two seconds in
     * which a version must be in force everywhere.
     */
    private static final long BEHIND_MILLIS = 300;

    /** How often it is looked who is silent and which reports are too old, milliseconds. */
    static final long TICK_MILLIS = 250;

    /** After how many ticks the plan is made again though nothing is known to have changed. */
    private static final int MOST_TICKS = 4;

    /** Logs routers gained and lost, and changes of the plan. */
    private static final Logger LOGGER = LogManager.getLogger(PeerExchange.class);

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The version in force. */
    private final CurrentConfiguration mConfiguration;

    /** Reads configurations of others. */
    private final ConfigurationDecoder mCodec;

    /** What the others said. */
    private final PeerLoads mLoads;

    /** Takes what other routers tell once. */
    private final PeerNoticeListener mNotices;

    /** Who the others are. */
    private final Membership mMembership;

    /** Connections to the others. */
    private final PeerLinks mLinks;

    /** Hands on loads and refusals. */
    private final LoadRelay mRelay;

    /** Which expected routers are silent. */
    private final PeerWatch mWatch = new PeerWatch();

    /** Who is in the table of routers. */
    private final Map<String, MemberRow> mListed = new HashMap<>();

    /** What each router was last sent. */
    private final Map<Incarnation, Sent> mSent = new HashMap<>();

    /** Since when each router has been known to have an older version, milliseconds. */
    private final Map<Incarnation, Long> mBehind = new HashMap<>();

    /** Tables that routers read for each other. */
    private final TableExchange mTables;

    /** To whom this router tells what; made on the control thread, read by any. */
    private volatile RelayPlan mPlan;

    /** Whether the table of routers has changed since the last plan. */
    private boolean mListChanged;

    /** Whether a plan is about to be made. */
    private boolean mPlanning;

    /** How many ticks passed since the last plan. */
    private int mTicks;

    /** Which routers of the plan were connected when it was made. */
    private Set<Incarnation> mConnected = Set.of();

    /** What waits for the relay's answer. */
    private final List<Runnable> mAsking = new ArrayList<>();

    /** How many routers were heard of lately when that was last logged. */
    private int mHeardCount;

    /**
     * A configuration that was sent.
     *
     * @param version its version
     * @param at when, milliseconds
     */
    private record Sent(long version, long at) {}

    /**
     * Creates an exchange and starts to listen.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param address where the others come in
     * @param opener opens connections to the others
     * @param configuration the version in force
     * @param codec reads configurations of others
     * @param loads takes what the others say
     * @param notices takes what other routers tell once
     */
    public PeerExchange(
            Node node,
            Address address,
            PeerLinks.Factory opener,
            CurrentConfiguration configuration,
            ConfigurationDecoder codec,
            PeerLoads loads,
            PeerNoticeListener notices) {
        mNotices = notices;
        mNode = node;
        mConfiguration = configuration;
        mCodec = codec;
        mLoads = loads;
        Member self = new Member(node.incarnation(), node.hall(), address.toString(), false);
        mMembership = new Membership(self, node.nanos());
        mPlan = RelayPlan.of(self, List.of(self), member -> 0, router -> false);
        mLinks = opener.open(new PeerMesh.Peers(mMembership, () -> mPlan.wanted()), this);
        mRelay = new LoadRelay(node, mLinks, loads, () -> mPlan);
        mTables = new TableExchange(node.hall(), mLinks, () -> mPlan, mRelay::locals);
        node.control().scheduleWithFixedDelay(this::tick, TICK_MILLIS);
    }

    /**
     * Takes a row of the table of routers.
     *
     * @param instance who it is of; the key
     * @param listed what it says, or null where it was deleted
     */
    public void listed(InstanceId instance, MemberRow listed) {
        MemberRow before =
                listed == null
                        ? mListed.remove(instance.value())
                        : mListed.put(instance.value(), listed);
        if (before != null
                && (listed == null || !before.incarnation().equals(listed.incarnation()))) {
            forget(new Incarnation(before.incarnation()));
        }
        mListChanged = true;
        planSoon();
    }

    /**
     * Forgets which versions a start of a router had, once it is over.
     *
     * @param router the start
     */
    private void forget(Incarnation router) {
        mSent.remove(router);
        mBehind.remove(router);
    }

    /** Has the plan made soon, once for all that comes until then. */
    private void planSoon() {
        if (!mPlanning) {
            mPlanning = true;
            mNode.control().schedule(this::plan, LoadRelay.GATHER_MILLIS);
        }
    }

    /**
     * Turns a router's row into an entry of an instance list.
     *
     * @param row the row
     * @return the entry
     */
    private static Instance entry(MemberRow row) {
        return new Instance(row.instance(), row.incarnation(), row.peer(), row.hall(), ALIVE);
    }

    /**
     * Returns the tables that routers read for each other.
     *
     * @return the exchange of tables
     */
    public TableExchange tables() {
        return mTables;
    }

    /**
     * Tells the others of this router's load.
     *
     * @param report what to tell
     */
    public void tell(LoadReport report) {
        mRelay.tell(report);
    }

    /**
     * Tells the others that a request was refused.
     *
     * @param key the part of its prompt that is its own
     */
    public void announceRefusal(String key) {
        mRelay.refused(List.of(key), true);
    }

    /**
     * Tells the others of a request under which upstreams ended.
     *
     * @param report what is known of it
     */
    public void announceCrash(CrashReport report) {
        mRelay.crashed(List.of(report), true);
    }

    /**
     * Reports to the others that an upstream has announced that it leaves.
     *
     * @param upstream its start
     */
    public void announceLeaving(UpstreamIncarnation upstream) {
        mRelay.leaving(List.of(upstream), true);
    }

    /**
     * Returns whether this router reads the store's tables for its hall. Thread safe.
     *
     * @return whether it does; true before it knows of any other
     */
    public boolean isTableReader() {
        return mPlan.reader();
    }

    /**
     * Returns which engines this router asks what runs there. Thread safe.
     *
     * @return all where routers tell each other directly; those of its hall at a relay; none else
     */
    public EngineUsageReconciler.Scope engineQueryScope() {
        return new EngineUsageReconciler.Scope() {

            /** {@inheritDoc} */
            @Override
            public boolean polls(UpstreamEntry engine) {
                RelayPlan plan = mPlan;
                return plan.direct() || plan.relay() && engine.hall().equals(mNode.hall());
            }

            /** {@inheritDoc} */
            @Override
            public boolean sharesResults() {
                return mPlan.relay();
            }
        };
    }

    /**
     * Has the use of upstreams by the other routers known as it is now: by a sum of what they told,
     * or by the relay's answer.
     *
     * @param known runs on the control thread once it is known; never where the relay does not
     *     answer
     */
    public void refreshLoads(Runnable known) {
        PeerMessage question = new PeerMessage.LoadAsked();
        boolean asked =
                mPlan.reportTo()
                        .map(relay -> mLinks.send(relay.incarnation(), question))
                        .orElse(false);
        if (asked) {
            mAsking.add(known);
        } else {
            mLoads.refresh(mNode.millis());
            known.run();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onMessage(Member from, PeerMessage message) {
        mMembership.recordContact(from);
        mWatch.heard(from.incarnation(), mNode.millis());
        if (mPlan.relay() && !mLinks.isConnected(from.incarnation())) {
            planSoon();
        }
        if (message instanceof PeerMessage.Load load) {
            heard(from, load);
        } else if (message instanceof PeerMessage.LoadAsked) {
            mRelay.asked(from.incarnation());
        } else if (message instanceof PeerMessage.Configuration offered) {
            take(from, offered);
        } else if (message instanceof PeerMessage.Refused refused) {
            mNotices.onRequestsRefused(refused.keys());
            handOn(from, here -> mRelay.refused(refused.keys(), here));
        } else if (message instanceof PeerMessage.Crashed crashed) {
            mNotices.onUpstreamsCrashed(crashed.reports());
            handOn(from, here -> mRelay.crashed(crashed.reports(), here));
        } else if (message instanceof PeerMessage.Leaving leaving) {
            mNotices.onUpstreamsLeaving(leaving.upstreams());
            handOn(from, here -> mRelay.leaving(leaving.upstreams(), here));
        } else if (message instanceof PeerMessage.Page page) {
            mTables.heard(page.page());
        } else if (message instanceof PeerMessage.TableAsked asked) {
            mTables.heard(from.incarnation(), asked);
        } else if (message instanceof PeerMessage.TableTold told) {
            mTables.heard(told);
        }
    }

    /**
     * Takes a report.
     *
     * @param from who sent it
     * @param load the report
     */
    private void heard(Member from, PeerMessage.Load load) {
        boolean expected =
                load.scope() != ReportScope.REST
                        || mPlan.reportTo().filter(relay -> same(relay, from)).isPresent();
        if (expected) {
            boolean news =
                    mLoads.update(
                            from.incarnation(),
                            from.hall(),
                            load.scope(),
                            load.report(),
                            mNode.millis());
            if (news && load.scope() != ReportScope.REST) {
                mRelay.changed();
            }
            if (load.scope() == ReportScope.REST) {
                answered();
            }
        }
        if (load.report().configuration() < mConfiguration.version()) {
            behind(from.incarnation());
        } else {
            mBehind.remove(from.incarnation());
        }
    }

    /** Goes on with what waited for the relay's answer. */
    private void answered() {
        mLoads.refresh(mNode.millis());
        List<Runnable> asking = List.copyOf(mAsking);
        mAsking.clear();
        asking.forEach(Runnable::run);
    }

    /**
     * Hands the version in force on to a router that has had an older one for a while. Routers read
     * the store themselves; handed on to all at once, 20 versions with 550 routes were 90 MB
     * between halls on a day of seven routers.
     *
     * @param router who has an older one
     */
    private void behind(Incarnation router) {
        long now = mNode.millis();
        long since = mBehind.computeIfAbsent(router, first -> now);
        if (now - since >= BEHIND_MILLIS) {
            sendConfiguration(router);
        }
    }

    /**
     * Hands on what another router told once, where this router is a relay.
     *
     * @param from who told it
     * @param relay hands it on: to all where it came from one that reports to this router
     */
    private void handOn(Member from, Consumer<Boolean> relay) {
        if (mPlan.relay()) {
            relay.accept(mRelay.locals().contains(from.incarnation()));
        }
    }

    /**
     * Takes a configuration of another router.
     *
     * @param from whose it is
     * @param offered the configuration
     */
    private void take(Member from, PeerMessage.Configuration offered) {
        if (offered.version() <= mConfiguration.version()) {
            return;
        }
        try {
            mConfiguration.adoptIfNewer(
                    mCodec.decode(offered.encoded()), from.incarnation().value());
        } catch (RuntimeException exception) {
            LOGGER.error("configuration not readable from={}", from.incarnation(), exception);
        }
    }

    /**
     * Sends the version in force.
     *
     * @param to who has an older one
     */
    private void sendConfiguration(Incarnation to) {
        long now = mNode.millis();
        long version = mConfiguration.version();
        Sent before = mSent.get(to);
        if (before != null && before.version() == version && now - before.at() < RESEND_MILLIS) {
            return;
        }
        mConfiguration
                .current()
                .ifPresent(
                        current -> {
                            mSent.put(to, new Sent(current.version(), now));
                            mLinks.send(
                                    to,
                                    new PeerMessage.Configuration(
                                            current.version(), current.encoded()));
                        });
    }

    /** Drops old reports, repeats what has not changed, and plans where something else has. */
    private void tick() {
        boolean silent = mWatch.expect(expected(), mNode.millis());
        if (silent || !connected().equals(mConnected) || ++mTicks >= MOST_TICKS) {
            plan();
        }
        mLoads.refresh(mNode.millis());
        mRelay.repeat();
        if (mLoads.peerCount() != mHeardCount) {
            LOGGER.info("routers heard before={} now={}", mHeardCount, mLoads.peerCount());
            mHeardCount = mLoads.peerCount();
        }
    }

    /** Makes the plan and opens the connections that it wants. */
    private void plan() {
        mPlanning = false;
        mTicks = 0;
        if (mListChanged) {
            mListChanged = false;
            mMembership.updateListed(mListed.values().stream().map(PeerExchange::entry).toList());
        }
        RelayPlan before = mPlan;
        mPlan =
                RelayPlan.of(
                        mMembership.self(),
                        mMembership.live(),
                        this::points,
                        router -> mLinks.isConnected(router) && !mWatch.suspected(router));
        mLoads.count(mRelay.counted());
        mLoads.aggregate(mNode.millis());
        mWatch.expect(expected(), mNode.millis());
        boolean anotherRelay = !before.reportTo().equals(mPlan.reportTo());
        if (anotherRelay) {
            mAsking.clear();
        }
        if (anotherRelay || before.relay() != mPlan.relay()) {
            LOGGER.info(
                    "relay plan direct={} relay={} reader={} reportTo={} relays={}",
                    mPlan.direct(),
                    mPlan.relay(),
                    mPlan.reader(),
                    mPlan.reportTo().map(Member::incarnation).orElse(null),
                    mPlan.relays().size());
        }
        mConnected = connected();
        mPlan.wanted().forEach(mLinks::connect);
        mRelay.locals().forEach(this::connectBack);
        if (mPlan.relay()) {
            mRelay.otherRelays().forEach(this::connectBack);
        }
    }

    /**
     * Returns which routers of the plan are connected.
     *
     * @return who they are
     */
    private Set<Incarnation> connected() {
        Set<Incarnation> connected = LoadRelay.incarnations(mPlan.wanted());
        connected.removeIf(router -> !mLinks.isConnected(router));
        return connected;
    }

    /**
     * Opens a connection to a router that this relay tells of others.
     *
     * @param router the router
     */
    private void connectBack(Incarnation router) {
        if (!mLinks.isConnected(router)) {
            mMembership.live().stream()
                    .filter(member -> member.incarnation().equals(router))
                    .forEach(mLinks::connect);
        }
    }

    /**
     * Returns from whom messages must come regularly.
     *
     * @return who they are
     */
    private Set<Incarnation> expected() {
        Set<Incarnation> expected = LoadRelay.incarnations(mPlan.relays());
        mPlan.reportTo().ifPresent(relay -> expected.add(relay.incarnation()));
        return expected;
    }

    /**
     * Returns how much a router can do for the others.
     *
     * @param member the router
     * @return points of its capacity; 0 where its row is not known
     */
    private int points(Member member) {
        MemberRow row = mListed.get(member.incarnation().instance().value());
        return row == null ? 0 : row.capacity();
    }

    /**
     * Returns whether two members are the same start of the same router.
     *
     * @param one one of them
     * @param other the other
     * @return whether they are
     */
    private static boolean same(Member one, Member other) {
        return one.incarnation().equals(other.incarnation());
    }
}
