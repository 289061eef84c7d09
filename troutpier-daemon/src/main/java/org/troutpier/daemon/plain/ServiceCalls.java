package org.troutpier.daemon.plain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.waiting.WaitingQueue;

/**
 * The limits and the waiting calls of one plain service. Confined to the traffic loop. Invariant:
 * without reports of other routers, this router sends at most one call or as many as its parts of
 * all limits allow.
 */
final class ServiceCalls {

    /**
     * Calls by which all parts together rise when every upstream has answered one call in time. At
     * one call, many routers that hear no other overrun the upstreams before an answer is late.
     */
    private static final double ISOLATED_RISE = 0.5;

    /**
     * Time left for a second try, in multiples of the predicted duration of a call at an idle
     * upstream: other upstreams are rarely idle.
     */
    private static final double SECOND_TRY_FACTOR = 1.5;

    private final FlowDemand mDemand = new FlowDemand();

    private final WorkEstimate mWork = new WorkEstimate();

    private final Map<UpstreamIncarnation, ConcurrencyLimit> mLimits = new HashMap<>();

    private final Map<UpstreamIncarnation, Slowdown> mPaces = new HashMap<>();

    private final WaitingQueue<WaitingCall> mQueue = new WaitingQueue<>();

    private final FleetView mFleet;

    /** Calls of this router in flight. */
    private int mCalls;

    /** This router's parts of the limits; empty while it hears of other routers. */
    private final Map<UpstreamIncarnation, IsolatedPart> mIsolatedParts = new HashMap<>();

    /** The rooms at the last decision, for the status. */
    private List<UpstreamRoom> mLastRooms = List.of();

    private long mRefusedCount;

    ServiceCalls(FleetView fleet) {
        mFleet = fleet;
    }

    FlowDemand demand() {
        return mDemand;
    }

    WorkEstimate work() {
        return mWork;
    }

    WaitingQueue<WaitingCall> queue() {
        return mQueue;
    }

    /** Returns the rooms that were known at the last decision. */
    List<UpstreamRoom> lastRooms() {
        return mLastRooms;
    }

    /** Returns the number of calls that were refused so far. */
    long refusedCount() {
        return mRefusedCount;
    }

    /** Records the rooms of a decision. */
    void recordDecision(List<UpstreamRoom> rooms) {
        mLastRooms = rooms;
    }

    /** Records that a call was refused. */
    void recordRefusal() {
        mRefusedCount++;
    }

    /** Records that a call of this router was sent. */
    void begin() {
        mCalls++;
    }

    /** Records that a call of this router has ended. */
    void end() {
        mCalls--;
    }

    /**
     * Records a successful answer.
     *
     * @param calls the calls known at the upstream when the call was sent, itself included
     * @param inTime whether the answer met the target
     */
    void recordAnswer(UpstreamEntry upstream, long millis, int calls, boolean inTime, long now) {
        double ratio = mWork.record(millis, upstream.slots(), calls);
        mPaces.computeIfAbsent(upstream.incarnation(), any -> new Slowdown()).record(ratio, now);
        recordTarget(upstream, inTime);
    }

    /** Records whether an upstream met the target of a call. */
    void recordTarget(UpstreamEntry upstream, boolean inTime) {
        IsolatedPart part = mIsolatedParts.get(upstream.incarnation());
        if (part == null) {
            return;
        }
        if (inTime) {
            part.raise(ISOLATED_RISE / mIsolatedParts.size());
        } else {
            part.halve();
        }
    }

    /** Records that an upstream turned a call away because it is full. */
    void recordFull(UpstreamEntry upstream, long now) {
        double workMillis = mWork.meanMillis() * slowdown(upstream, now);
        double freeAfterMillis = Math.max(1, workMillis / Math.max(1, upstream.slots()));
        limit(upstream, now).recordFull(now, freeAfterMillis);
        IsolatedPart part = mIsolatedParts.get(upstream.incarnation());
        if (part != null) {
            part.halve();
        }
    }

    /** Records that an upstream was lost. */
    void recordLost(UpstreamEntry upstream, long now) {
        limit(upstream, now).recordLost(now);
    }

    /**
     * Returns the room at upstreams.
     *
     * @param answerMillis the time within which calls are to be answered
     * @param now the current time, milliseconds
     */
    List<UpstreamRoom> rooms(List<UpstreamEntry> upstreams, double answerMillis, long now) {
        List<UpstreamRoom> rooms = new ArrayList<>(upstreams.size());
        for (UpstreamEntry upstream : upstreams) {
            double slowdown = slowdown(upstream, now);
            double callsInTime = mWork.callsWithin(answerMillis, upstream.slots(), slowdown);
            ConcurrencyLimit limit = limit(upstream, now);
            UpstreamRoom room =
                    new UpstreamRoom(
                            upstream,
                            limit.limit(callsInTime, now),
                            mFleet.calls().applyAsInt(upstream),
                            turnover(upstream, slowdown),
                            mWork.answerMillis(1, 1, slowdown) <= answerMillis,
                            limit.cause(callsInTime, now));
            rooms.add(room);
        }
        if (mFleet.hasReports()) {
            mIsolatedParts.clear();
        } else {
            restrict(rooms);
        }
        return rooms;
    }

    /** Returns when to consider a second upstream for a repeatable call, in milliseconds. */
    long secondTryDelayMillis(PlainCall call) {
        double delay =
                call.targetMillis()
                        - call.elapsedMillis()
                        - PlainCalls.ANSWER_MARGIN_MILLIS
                        - SECOND_TRY_FACTOR * mWork.answerMillis(1, 1, 1);
        return (long) Math.max(1, delay);
    }

    /**
     * Returns the upstreams to which a repeatable call may be sent beside one that is silent.
     *
     * @param first the upstream that is silent
     * @param silentMillis for how long
     * @param call the call, with the other upstreams
     * @param inTime whether only those are returned at which the target is met
     * @param now the current time, milliseconds
     * @return the upstreams, in order of preference
     */
    List<UpstreamEntry> secondUpstreams(
            UpstreamEntry first, long silentMillis, PlainCall call, boolean inTime, long now) {
        double answerMillis = call.targetMillis() - PlainCalls.ANSWER_MARGIN_MILLIS;
        double remaining = answerMillis - call.elapsedMillis();
        UpstreamRoom silent = rooms(List.of(first), answerMillis, now).get(0);
        double expected = answerMillis(first, silent.calls(), now);
        List<UpstreamEntry> allowed = new ArrayList<>();
        for (UpstreamRoom room : rooms(call.upstreams().get(), answerMillis, now)) {
            double predicted = answerMillis(room.upstream(), room.calls() + 1, now);
            SecondTry second = new SecondTry(silent, room, expected, predicted);
            if (inTime ? second.isInTime(silentMillis, remaining) : second.hasRoom()) {
                allowed.add(room.upstream());
            }
        }
        return allowed;
    }

    /** Predicts the duration of one of several calls at an upstream, milliseconds. */
    private double answerMillis(UpstreamEntry upstream, int calls, long now) {
        return mWork.answerMillis(upstream.slots(), calls, slowdown(upstream, now));
    }

    /** Returns how many times as long as others an upstream takes. */
    double slowdown(UpstreamEntry upstream, long now) {
        PaceReport peers = mFleet.peers().pace(upstream.incarnation(), now);
        Slowdown pace = mPaces.get(upstream.incarnation());
        return (pace == null ? new Slowdown() : pace).slowdown(peers, now);
    }

    /** Returns how many calls end at an upstream while a change there becomes known. */
    private int turnover(UpstreamEntry upstream, double slowdown) {
        double workMillis = mWork.meanMillis() * slowdown;
        return mWork.known() && mFleet.hasReports()
                ? (int) (upstream.slots() * FleetView.REPORT_AGE_MILLIS / workMillis)
                : 0;
    }

    /** Reduces the room to what is left of this router's parts of the limits. */
    private void restrict(List<UpstreamRoom> rooms) {
        int routers = Math.max(1, mFleet.routers().getAsInt());
        for (UpstreamRoom room : rooms) {
            IsolatedPart part =
                    mIsolatedParts.computeIfAbsent(
                            room.upstream().incarnation(),
                            any ->
                                    new IsolatedPart(
                                            room.upstream(),
                                            (double) Math.max(1, room.limit()) / routers));
            if (room.cause() != ConcurrencyLimit.Cause.FULL) {
                part.setLimit(room.limit());
            }
        }
        int left = isolatedCallsLeft();
        for (int index = 0; index < rooms.size(); index++) {
            UpstreamRoom room = rooms.get(index);
            int part = mIsolatedParts.get(room.upstream().incarnation()).wholeCalls();
            int free = Math.min(left, Math.min(room.free(), Math.max(0, part - room.calls())));
            left -= free;
            rooms.set(index, room.withLimit(room.calls() + free));
        }
    }

    /** Returns how many further calls all parts together allow, at least one in flight. */
    private int isolatedCallsLeft() {
        double allowed = 0;
        int calls = mCalls;
        for (IsolatedPart part : mIsolatedParts.values()) {
            allowed += part.calls();
            // calls that a slow upstream holds beyond its part are not taken from the others
            int there = mFleet.calls().applyAsInt(part.upstream());
            calls -= Math.max(0, there - part.wholeCalls());
        }
        return Math.max(0, (int) Math.max(1, allowed) - Math.max(0, calls));
    }

    /** Adds the state of the upstreams as of the last decision. */
    void addStatuses(String service, List<UpstreamStatus> statuses) {
        for (UpstreamRoom room : mLastRooms) {
            statuses.add(
                    new UpstreamStatus(
                            room.upstream().id().value(),
                            service,
                            room.limit(),
                            room.calls(),
                            mQueue.size(),
                            mRefusedCount,
                            mWork.meanMillis(),
                            room.cause().name()));
        }
    }

    /** Discards the limits of upstreams that are no longer listed. */
    void retain(Set<UpstreamIncarnation> listed) {
        mLimits.keySet().retainAll(listed);
        mPaces.keySet().retainAll(listed);
        mIsolatedParts.keySet().retainAll(listed);
    }

    private ConcurrencyLimit limit(UpstreamEntry upstream, long now) {
        ConcurrencyLimit limit = mLimits.get(upstream.incarnation());
        if (limit == null) {
            int calls = mFleet.calls().applyAsInt(upstream);
            limit = new ConcurrencyLimit(upstream.slots(), calls, now);
            mLimits.put(upstream.incarnation(), limit);
        }
        return limit;
    }
}
