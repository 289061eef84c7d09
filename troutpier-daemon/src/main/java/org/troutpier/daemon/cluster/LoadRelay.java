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
 * Tells other routers of this one's load and, where the {@link RelayPlan} makes this router a
 * relay, hands on the loads and refusals of others: to the other relays when they change, to those
 * that report to it when they ask and now and then. Confined to the control thread. Invariants:
 * nobody is told of its own load; what is told of a group is this router's load and those that
 * report to it, so that no router counts twice.
 */
final class LoadRelay {

    /**
     * The shortest pause between two times that a relay hands on what changed, milliseconds: half
     * the age that loads may have.
     */
    private static final long RELAY_MILLIS = 50;

    /**
     * After how long a relay tells its hall of the others, asked or not, and the other relays of
     * what has not changed, milliseconds: the second tick after it last did.
     */
    private static final long UNCHANGED_MILLIS =
            2 * PeerExchange.TICK_MILLIS - PeerExchange.TICK_MILLIS / 2;

    /** How long it is waited for more of what mostly comes together, milliseconds. */
    static final long GATHER_MILLIS = 5;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Connections to the others. */
    private final PeerLinks mLinks;

    /** What the others said. */
    private final PeerLoads mLoads;

    /** To whom this router tells what. */
    private final Supplier<RelayPlan> mPlan;

    /** Keys of requests that were refused. */
    private final NoticeOutbox<String> mRefused = new NoticeOutbox<>(PeerMessage.Refused::new);

    /** Requests under which upstreams ended. */
    private final NoticeOutbox<CrashReport> mCrashed = new NoticeOutbox<>(PeerMessage.Crashed::new);

    /** Upstreams that have announced that they leave. */
    private final NoticeOutbox<UpstreamIncarnation> mLeaving =
            new NoticeOutbox<>(PeerMessage.Leaving::new);

    /** This router's latest report. */
    private LoadReport mOwn = LoadReport.NONE;

    /** When that was made, milliseconds. */
    private long mOwnAt;

    /** Whether there is something to tell the other relays. */
    private boolean mChanged;

    /** Whether it is about to be told. */
    private boolean mRelaying;

    /** When it was last looked for something to tell, milliseconds. */
    private long mRelayedAt;

    /** When the other relays were last told of this group, milliseconds. */
    private long mGroupToldAt;

    /** When those that report to this router were last told of the others, milliseconds. */
    private long mRestToldAt;

    /**
     * Creates a relay.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param links connections to the others
     * @param loads what the others said
     * @param plan to whom this router tells what; asked each time
     */
    LoadRelay(Node node, PeerLinks links, PeerLoads loads, Supplier<RelayPlan> plan) {
        mNode = node;
        mLinks = links;
        mLoads = loads;
        mPlan = plan;
    }

    /**
     * Returns all whom this router tells what everybody should know.
     *
     * @return who they are
     */
    Set<Incarnation> audience() {
        Set<Incarnation> audience =
                incarnations(mPlan.get().direct() ? mPlan.get().wanted() : mPlan.get().relays());
        mPlan.get().reportTo().ifPresent(relay -> audience.add(relay.incarnation()));
        audience.addAll(locals());
        return audience;
    }

    /**
     * Returns the routers of this hall that report to this relay.
     *
     * @return who they are
     */
    Set<Incarnation> locals() {
        return mPlan.get().relay() ? mLoads.reporters(ReportScope.OWN) : Set.of();
    }

    /**
     * Tells the others of this router's load.
     *
     * @param report what to tell
     */
    void tell(LoadReport report) {
        boolean news = !report.sameLoad(mOwn);
        mOwn = report;
        mOwnAt = mNode.millis();
        if (news) {
            changed();
        }
        PeerMessage.Load load = new PeerMessage.Load(ReportScope.OWN, report);
        if (mPlan.get().direct()) {
            mLinks.sendAll(incarnations(mPlan.get().wanted()), load);
        } else {
            mPlan.get().reportTo().ifPresent(relay -> mLinks.send(relay.incarnation(), load));
        }
    }

    /** Tells what has not been told for long. */
    void repeat() {
        if (!mPlan.get().relay()) {
            return;
        }
        if (mNode.millis() - mGroupToldAt >= UNCHANGED_MILLIS) {
            tellGroup();
        }
        if (mNode.millis() - mRestToldAt >= UNCHANGED_MILLIS) {
            mRestToldAt = mNode.millis();
            locals().forEach(this::tellRest);
        }
    }

    /**
     * Tells one that reports to this router of the others, as they are now.
     *
     * @param from who asked
     */
    void asked(Incarnation from) {
        if (mPlan.get().relay()) {
            tellRest(from);
        }
    }

    /** Has what changed handed on: soon, or once the shortest pause is over. */
    private void relaySoon() {
        if (!mRelaying) {
            mRelaying = true;
            long left = RELAY_MILLIS - (mNode.millis() - mRelayedAt);
            mNode.control().schedule(this::relay, Math.max(GATHER_MILLIS, left));
        }
    }

    /** Hands on what changed. */
    private void relay() {
        mRelaying = false;
        mRelayedAt = mNode.millis();
        mRefused.tell(mLinks, audience(), locals());
        if (mPlan.get().relay() && mChanged) {
            tellGroup();
        }
    }

    /** Tells the other relays of this router's group. */
    private void tellGroup() {
        mChanged = false;
        mGroupToldAt = mNode.millis();
        LoadReport group =
                own().plus(mLoads.reports(EnumSet.of(ReportScope.OWN), null, mNode.millis()));
        mLinks.sendAll(otherRelays(), new PeerMessage.Load(ReportScope.GROUP, group));
    }

    /**
     * Tells one that reports to this router of all others.
     *
     * @param local whom to tell
     */
    private void tellRest(Incarnation local) {
        LoadReport rest = own().plus(mLoads.reports(counted(), local, mNode.millis()));
        mLinks.send(local, new PeerMessage.Load(ReportScope.REST, rest));
    }

    /**
     * Returns this router's latest report as it is now.
     *
     * @return the report
     */
    private LoadReport own() {
        return mOwn.later(mNode.millis() - mOwnAt);
    }

    /** Notes that the other relays are to be told, where this router does that. */
    void changed() {
        mChanged = true;
        if (mPlan.get().relay()) {
            relaySoon();
        }
    }

    /**
     * Returns the other relays: those of the plan, and those that say so of themselves by telling
     * of a group. A router that took a relay's place while it was not heard would else never hear
     * it again, since it expects what relays tell each other.
     *
     * @return who they are
     */
    Set<Incarnation> otherRelays() {
        Set<Incarnation> relays = incarnations(mPlan.get().relays());
        relays.addAll(mLoads.reporters(ReportScope.GROUP));
        return relays;
    }

    /**
     * Returns the scopes that count under the plan.
     *
     * @return the scopes, each of which tells of other routers
     */
    Set<ReportScope> counted() {
        if (mPlan.get().direct()) {
            return EnumSet.of(ReportScope.OWN);
        }
        return mPlan.get().relay()
                ? EnumSet.of(ReportScope.OWN, ReportScope.GROUP)
                : EnumSet.of(ReportScope.REST);
    }

    /**
     * Has it told that requests were refused.
     *
     * @param keys the parts of their prompts that are their own
     * @param here whether by this router or by one that reports to it, so that all are to hear it;
     *     otherwise only those that report to this router
     */
    void refused(List<String> keys, boolean here) {
        mRefused.add(keys, here);
        relaySoon();
    }

    /**
     * Has it told that upstreams ended under requests: at once, since the same request may come at
     * any router in the same moment.
     *
     * @param reports what is known of them
     * @param here whether by this router or by one that reports to it, so that all are to hear it;
     *     otherwise only those that report to this router
     */
    void crashed(List<CrashReport> reports, boolean here) {
        atOnce(mCrashed, reports, here);
    }

    /**
     * Has it reported that upstreams have announced that they leave: at once, since each router
     * goes on sending to them until it knows.
     *
     * @param upstreams their starts
     * @param here whether by this router or by one that reports to it, so that all are to receive
     *     it; otherwise only those that report to this router
     */
    void leaving(List<UpstreamIncarnation> upstreams, boolean here) {
        atOnce(mLeaving, upstreams, here);
    }

    /**
     * Has notices reported once what is under way on the control thread is done.
     *
     * @param outbox where they wait
     * @param notices the notices
     * @param here whether all are to receive them; otherwise only those that report to this router
     * @param <T> the notices' type
     */
    private <T> void atOnce(NoticeOutbox<T> outbox, List<T> notices, boolean here) {
        outbox.add(notices, here);
        mNode.control().execute(() -> outbox.tell(mLinks, audience(), locals()));
    }

    /**
     * Returns members' incarnations.
     *
     * @param members the members
     * @return a new set
     */
    static Set<Incarnation> incarnations(Collection<Member> members) {
        Set<Incarnation> incarnations = new HashSet<>();
        members.forEach(member -> incarnations.add(member.incarnation()));
        return incarnations;
    }
}
