package org.troutpier.daemon.cluster;

import java.util.Collection;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerLinks;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.quarantine.CrashReport;

/**
 * Sends this router's load to others and, where the {@link RelayPlan} makes it a relay, forwards
 * the loads and notices of others: to the other relays when they change, to the members of its
 * group on request and periodically. Confined to the control thread. Invariants: no router receives
 * its own load; a group's report covers this router and its members, so that no router is counted
 * twice.
 */
final class LoadRelay {

    /**
     * Minimum interval between two forwards of changes, milliseconds: half the age that loads may
     * have.
     */
    private static final long MIN_RELAY_MILLIS = 50;

    /**
     * Interval at which a relay sends unchanged reports to the other relays, and to its group even
     * without a request, milliseconds: the second tick after the last report.
     */
    private static final long MAX_RELAY_MILLIS =
            2 * PeerExchange.TICK_MILLIS - PeerExchange.TICK_MILLIS / 2;

    /** Time for which changes that usually come together are collected, milliseconds. */
    static final long BATCH_MILLIS = 5;

    private final Node mNode;

    private final PeerLinks mLinks;

    private final PeerLoads mLoads;

    private final Supplier<RelayPlan> mPlan;

    /** Keys of refused requests. */
    private final NoticeOutbox<String> mRefusals = new NoticeOutbox<>(PeerMessage.Refused::new);

    /** Requests during which upstreams crashed. */
    private final NoticeOutbox<CrashReport> mCrashes = new NoticeOutbox<>(PeerMessage.Crashed::of);

    private final NoticeOutbox<UpstreamIncarnation> mLeaving =
            new NoticeOutbox<>(PeerMessage.Leaving::new);

    private LoadReport mOwnReport = LoadReport.NONE;

    private long mOwnReportMillis;

    /** Whether the group's load changed since it was last sent to the other relays. */
    private boolean mGroupChanged;

    private boolean mRelayScheduled;

    private long mLastRelayMillis;

    private long mGroupSentMillis;

    private long mRestSentMillis;

    /**
     * Creates a relay.
     *
     * @param loads the others' reports
     * @param plan supplies the current plan
     */
    LoadRelay(Node node, PeerLinks links, PeerLoads loads, Supplier<RelayPlan> plan) {
        mNode = node;
        mLinks = links;
        mLoads = loads;
        mPlan = plan;
    }

    /** Returns the routers to which this router sends notices that all routers must receive. */
    Set<Incarnation> broadcastTargets() {
        Set<Incarnation> targets =
                incarnations(
                        mPlan.get().direct()
                                ? mPlan.get().connectionTargets()
                                : mPlan.get().relays());
        mPlan.get().reportTo().ifPresent(relay -> targets.add(relay.incarnation()));
        targets.addAll(groupMembers());
        return targets;
    }

    /**
     * Returns the routers of this hall that report to this relay.
     *
     * @return the routers; empty if this router is not a relay
     */
    Set<Incarnation> groupMembers() {
        return mPlan.get().isRelay() ? mLoads.reporters(ReportScope.OWN) : Set.of();
    }

    void publish(LoadReport report) {
        boolean changed = !report.hasSameLoad(mOwnReport);
        mOwnReport = report;
        mOwnReportMillis = mNode.millis();
        if (changed) {
            onGroupChanged();
        }
        PeerMessage.Load load = new PeerMessage.Load(ReportScope.OWN, report);
        if (mPlan.get().direct()) {
            mLinks.sendAll(incarnations(mPlan.get().connectionTargets()), load);
        } else {
            mPlan.get().reportTo().ifPresent(relay -> mLinks.send(relay.incarnation(), load));
        }
    }

    /** Resends reports that were last sent {@link #MAX_RELAY_MILLIS} ago or earlier. */
    void resendUnchanged() {
        if (!mPlan.get().isRelay()) {
            return;
        }
        if (mNode.millis() - mGroupSentMillis >= MAX_RELAY_MILLIS) {
            sendGroup();
        }
        if (mNode.millis() - mRestSentMillis >= MAX_RELAY_MILLIS) {
            mRestSentMillis = mNode.millis();
            groupMembers().forEach(this::sendRest);
        }
    }

    /** Answers a member's request for the load of all other routers. */
    void onLoadRequest(Incarnation from) {
        if (mPlan.get().isRelay()) {
            sendRest(from);
        }
    }

    /**
     * Schedules forwarding changes, after {@link #BATCH_MILLIS} or the rest of the minimum
     * interval.
     */
    private void scheduleRelay() {
        if (!mRelayScheduled) {
            mRelayScheduled = true;
            long remaining = MIN_RELAY_MILLIS - (mNode.millis() - mLastRelayMillis);
            mNode.control().schedule(this::relay, Math.max(BATCH_MILLIS, remaining));
        }
    }

    /** Forwards changes. */
    private void relay() {
        mRelayScheduled = false;
        mLastRelayMillis = mNode.millis();
        mRefusals.flush(mLinks, broadcastTargets(), groupMembers());
        if (mPlan.get().isRelay() && mGroupChanged) {
            sendGroup();
        }
    }

    /** Sends the load of this router's group to the other relays. */
    private void sendGroup() {
        mGroupChanged = false;
        mGroupSentMillis = mNode.millis();
        LoadReport group =
                ownReport().plus(mLoads.reports(EnumSet.of(ReportScope.OWN), null, mNode.millis()));
        mLinks.sendAll(otherRelays(), new PeerMessage.Load(ReportScope.GROUP, group));
    }

    /** Sends the load of all other routers to a member of the group. */
    private void sendRest(Incarnation member) {
        LoadReport rest = ownReport().plus(mLoads.reports(countedScopes(), member, mNode.millis()));
        mLinks.send(member, new PeerMessage.Load(ReportScope.REST, rest));
    }

    private LoadReport ownReport() {
        return mOwnReport.aged(mNode.millis() - mOwnReportMillis);
    }

    /**
     * Notes a change of the group's load, and schedules forwarding it where this router is a relay.
     */
    void onGroupChanged() {
        mGroupChanged = true;
        if (mPlan.get().isRelay()) {
            scheduleRelay();
        }
    }

    /**
     * Returns the other relays: those of the plan, and routers that send group reports. Relays
     * expect reports of each other, so a router that took over while a relay was unreachable would
     * otherwise receive nothing from it again.
     */
    Set<Incarnation> otherRelays() {
        Set<Incarnation> relays = incarnations(mPlan.get().relays());
        relays.addAll(mLoads.reporters(ReportScope.GROUP));
        return relays;
    }

    /**
     * Returns the report scopes that are counted under the plan, each of which covers other
     * routers.
     */
    Set<ReportScope> countedScopes() {
        if (mPlan.get().direct()) {
            return EnumSet.of(ReportScope.OWN);
        }
        return mPlan.get().isRelay()
                ? EnumSet.of(ReportScope.OWN, ReportScope.GROUP)
                : EnumSet.of(ReportScope.REST);
    }

    /**
     * Announces refused requests with the next forward.
     *
     * @param keys the parts of their prompts that are not shared with other requests
     * @param local whether they were refused by this router or a member of its group, so that all
     *     routers are notified; otherwise only the members
     */
    void announceRefusals(List<String> keys, boolean local) {
        mRefusals.add(keys, local);
        scheduleRelay();
    }

    /**
     * Announces requests during which upstreams crashed: immediately, since the same request may
     * arrive at any router at the same time.
     *
     * @param reports the records
     * @param local whether they come from this router or a member of its group, so that all routers
     *     are notified; otherwise only the members
     */
    void announceCrashes(List<CrashReport> reports, boolean local) {
        sendImmediately(mCrashes, reports, local);
    }

    /**
     * Announces upstreams that are leaving: immediately, since each router sends work to them until
     * it knows.
     *
     * @param upstreams their incarnations
     * @param local whether they come from this router or a member of its group, so that all routers
     *     are notified; otherwise only the members
     */
    void announceLeaving(List<UpstreamIncarnation> upstreams, boolean local) {
        sendImmediately(mLeaving, upstreams, local);
    }

    /**
     * Sends notices after the current task of the control thread, together with those it still
     * adds.
     *
     * @param outbox holds them until then
     * @param local whether all routers are notified; otherwise only the members of the group
     * @param <T> the notices' type
     */
    private <T> void sendImmediately(NoticeOutbox<T> outbox, List<T> notices, boolean local) {
        outbox.add(notices, local);
        mNode.control().execute(() -> outbox.flush(mLinks, broadcastTargets(), groupMembers()));
    }

    /** Returns members' incarnations in a new, modifiable set. */
    static Set<Incarnation> incarnations(Collection<Member> members) {
        Set<Incarnation> incarnations = new HashSet<>();
        members.forEach(member -> incarnations.add(member.incarnation()));
        return incarnations;
    }
}
