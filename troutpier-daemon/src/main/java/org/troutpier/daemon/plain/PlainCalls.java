package org.troutpier.daemon.plain;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.logging.LogThrottle;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.RecentArrivals;
import org.troutpier.daemon.upstream.AttemptEnd;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Places calls to plain services: a call is sent while its upstream is predicted to answer in time,
 * waits briefly if room is about to become free, and is refused at once otherwise. Confined to the
 * traffic loop. Invariants: each call that is submitted and not cancelled has exactly one outcome;
 * the waiting calls are bounded in number, bytes and time.
 */
public final class PlainCalls {

    /** Path at which the status is served. */
    public static final String PATH = "/plain-calls";

    /**
     * Part of the target for which a call waits for room. A caller that is refused later has too
     * little of its own time left to return; and the time is missing at the upstream, where the
     * limit has to leave it to calls that waited.
     */
    private static final double MAX_WAIT_PART = 0.125;

    /** Time that an answer takes to its caller, with a margin for this router, milliseconds. */
    static final long ANSWER_MARGIN_MILLIS = 20;

    /** Interval at which waiting calls are considered, milliseconds; less than most work takes. */
    private static final long ROUND_MILLIS = 10;

    private static final long LOG_INTERVAL_MILLIS = 1000;

    private static final int MAX_WAITING_CALLS = 256;

    private static final long MAX_WAITING_BYTES = 4L * 1024 * 1024;

    private static final Logger LOGGER = LogManager.getLogger(PlainCalls.class);

    private final Schedule mSchedule;

    private final FleetView mFleet;

    private final RandomGenerator mRandom;

    private final ReturnDelay mReturnDelay;

    private final Map<String, ServiceCalls> mServices = new HashMap<>();

    private final Counter mWaited;

    private final Counter mRefused;

    private final Counter mExpired;

    private final Counter mTurnedAway;

    private final SilentCalls mSilentCalls;

    /** Calls that wait now. */
    private final Counter mWaiting;

    private final LogThrottle mRefusalLog = new LogThrottle(LOG_INTERVAL_MILLIS);

    private final LogThrottle mFullLog = new LogThrottle(LOG_INTERVAL_MILLIS);

    private int mWaitingCalls;

    private long mWaitingBytes;

    private boolean mRoundScheduled;

    /**
     * Creates an instance without any call.
     *
     * @param random spreads calls over upstreams and refused callers over time
     */
    public PlainCalls(
            Schedule schedule, FleetView fleet, RandomGenerator random, MetricRegistry metrics) {
        mSchedule = schedule;
        mFleet = fleet;
        mRandom = random;
        mReturnDelay = new ReturnDelay(random);
        mWaited = metrics.counter("plain.waited");
        mRefused = metrics.counter("plain.refused");
        mExpired = metrics.counter("plain.expired");
        mTurnedAway = metrics.counter("plain.turned-away");
        mWaiting = metrics.counter("plain.waiting");
        mSilentCalls = SilentCalls.of(metrics);
    }

    /**
     * Decides about a call, now or after a wait.
     *
     * @param listener receives the outcome, possibly before this method returns
     */
    public void submit(PlainCall call, PlainCall.Listener listener) {
        long now = mSchedule.millis();
        ServiceCalls service = service(call.service());
        service.demand().record(call.flow(), now);
        WaitingCall candidate = candidate(service, call, listener, now);
        CallAdmission admission =
                admission(service, call, competingCalls(service, call.service()), now);
        CallAdmission.Decision decision = decide(admission, candidate, now);
        boolean bounded =
                mWaitingCalls < MAX_WAITING_CALLS
                        && mWaitingBytes + call.bytes() <= MAX_WAITING_BYTES;
        if (decision.verdict() == CallAdmission.Verdict.SEND) {
            send(service, admission, candidate);
        } else if (decision.verdict() == CallAdmission.Verdict.WAIT && bounded) {
            enqueue(service, candidate);
        } else {
            mRefused.inc();
            refuse(service, candidate, admission, decision, now);
        }
    }

    /** Cancels a call that waits; its listener is not called again. */
    public void cancel(PlainCall call) {
        ServiceCalls service = service(call.service());
        if (service.queue().size() == 0) {
            return;
        }
        List<WaitingCall> found = new ArrayList<>(1);
        service.queue()
                .forEach(
                        each -> {
                            if (each.call() == call) {
                                found.add(each);
                            }
                        });
        found.forEach(each -> remove(service, each));
    }

    private WaitingCall candidate(
            ServiceCalls service, PlainCall call, PlainCall.Listener listener, long now) {
        long answerMillis = (long) service.work().answerMillis(1, 1, 1);
        long latestStart =
                now
                        + call.targetMillis()
                        - call.elapsedMillis()
                        - ANSWER_MARGIN_MILLIS
                        - answerMillis;
        long waitsUntil = Math.min(latestStart, now + (long) (call.targetMillis() * MAX_WAIT_PART));
        QueueTier tier = latestStart >= now ? QueueTier.IN_TIME : QueueTier.LATE;
        Claim claim = new Claim(tier, call.flow(), latestStart, 1);
        return new WaitingCall(call, listener, claim, mRandom.nextDouble(), now, waitsUntil);
    }

    /**
     * The calls with which others compete. Immutable.
     *
     * @param waiting the calls that wait at all routers
     * @param expected the calls that the other routers are expected to place while a change at an
     *     upstream becomes known
     */
    private record CompetingCalls(
            List<WaitingReport.Entry> waiting, List<WaitingReport.Entry> expected) {}

    private CompetingCalls competingCalls(ServiceCalls service, String name) {
        List<WaitingReport.Entry> waiting = mFleet.peers().waiting().entries();
        if (service.queue().size() > 0) {
            waiting = new ArrayList<>(waiting);
            addEntries(service, waiting);
        }
        return new CompetingCalls(
                waiting, service.work().known() ? mFleet.expectedCalls(name) : List.of());
    }

    private CallAdmission admission(
            ServiceCalls service, PlainCall call, CompetingCalls competing, long now) {
        List<UpstreamRoom> rooms =
                service.rooms(
                        call.upstreams().get(),
                        call.targetMillis() * (1 - MAX_WAIT_PART) - ANSWER_MARGIN_MILLIS,
                        now);
        service.recordDecision(rooms);
        double workMillis =
                service.work().known()
                        ? service.work().meanMillis()
                        : call.targetMillis() * MAX_WAIT_PART;
        return new CallAdmission(
                call.service(), rooms, competing.waiting(), competing.expected(), workMillis);
    }

    private void addEntries(ServiceCalls service, List<WaitingReport.Entry> entries) {
        long now = mSchedule.millis();
        service.queue()
                .forEach(
                        each ->
                                entries.add(
                                        new WaitingReport.Entry(
                                                each.call().service(),
                                                each.claim().tier(),
                                                each.claim().flow().rank(),
                                                each.claim().flow().organisation(),
                                                each.claim().cost(),
                                                each.claim().latestStartMillis() - now)));
    }

    private CallAdmission.Decision decide(CallAdmission admission, WaitingCall call, long now) {
        // without an upstream there is nothing to wait for; the listener reports it
        return admission.rooms().isEmpty()
                ? new CallAdmission.Decision(CallAdmission.Verdict.SEND, 0, 0, 0)
                : admission.decide(call.claim(), call.draw(), call.waitsUntil() - now);
    }

    private void send(ServiceCalls service, CallAdmission admission, WaitingCall call) {
        service.queue().charge(call.claim());
        call.listener().onAdmitted(admission.order(mRandom));
    }

    private void refuse(
            ServiceCalls service,
            WaitingCall call,
            CallAdmission admission,
            CallAdmission.Decision decision,
            long now) {
        service.recordRefusal();
        if (mRefusalLog.tryAcquire(now)) {
            LOGGER.info(
                    "plain calls refused service={} refused={} waiting={} waitingAnywhere={}"
                            + " expected={} upstreams={}",
                    call.call().service(),
                    service.refusedCount(),
                    service.queue().size(),
                    admission.waitingCount(),
                    admission.expectedCount(),
                    service.lastRooms());
        }
        long waited = now - call.arrivedAt();
        long remaining = Math.max(1, call.call().remainingMillis() - waited);
        String detail =
                "%.0f calls ahead, room for %d, predicted wait %.0f ms after %d ms"
                        .formatted(
                                decision.ahead(), decision.free(), decision.waitMillis(), waited);
        call.listener().onRefused(detail, mReturnDelay.millis(decision.waitMillis(), remaining));
    }

    private void enqueue(ServiceCalls service, WaitingCall call) {
        mWaited.inc();
        add(service, call);
        scheduleRound();
    }

    private void add(ServiceCalls service, WaitingCall call) {
        service.queue().add(call.claim(), call);
        mWaiting.inc();
        mWaitingCalls++;
        mWaitingBytes += call.call().bytes();
    }

    private boolean remove(ServiceCalls service, WaitingCall call) {
        boolean removed = service.queue().remove(call.claim(), call);
        if (removed) {
            mWaiting.dec();
            mWaitingCalls--;
            mWaitingBytes -= call.call().bytes();
        }
        return removed;
    }

    private void scheduleRound() {
        if (!mRoundScheduled && mWaitingCalls > 0) {
            mRoundScheduled = true;
            mSchedule.runFresh(this::runRound, ROUND_MILLIS);
        }
    }

    /** Decides again about all waiting calls, in their order. */
    private void runRound() {
        mRoundScheduled = false;
        for (ServiceCalls service : List.copyOf(mServices.values())) {
            if (service.queue().size() > 0) {
                runRound(service);
            }
        }
        scheduleRound();
    }

    private void runRound(ServiceCalls service) {
        long now = mSchedule.millis();
        List<WaitingCall> order = service.queue().drain();
        order.forEach(call -> service.queue().add(call.claim(), call));
        CompetingCalls competing = competingCalls(service, order.get(0).call().service());
        Set<UpstreamEntry> full = new HashSet<>();
        for (WaitingCall call : order) {
            boolean due = now >= call.waitsUntil();
            if (!due && !full.isEmpty() && full.containsAll(call.call().upstreams().get())) {
                continue;
            }
            CallAdmission admission = admission(service, call.call(), competing, now);
            CallAdmission.Decision decision = decide(admission, call, now);
            boolean send = decision.verdict() == CallAdmission.Verdict.SEND;
            // an outcome of an earlier call of the round may have cancelled this one
            if ((send || due) && remove(service, call)) {
                if (send) {
                    send(service, admission, call);
                } else {
                    mExpired.inc();
                    refuse(service, call, admission, decision, now);
                }
            }
            if (!send && decision.free() == 0) {
                admission.rooms().forEach(room -> full.add(room.upstream()));
            }
        }
    }

    /** Records that a call was sent to an upstream. */
    public void begin(String service) {
        service(service).begin();
    }

    /** Records that a call to an upstream has ended, however it ended. */
    public void end(String service) {
        service(service).end();
    }

    /**
     * Records a successful answer.
     *
     * @param millis the duration of the call
     * @param calls the calls known at the upstream when the call was sent, itself included
     * @param targetMillis the target of the call, milliseconds
     */
    public void recordAnswer(UpstreamEntry upstream, long millis, int calls, long targetMillis) {
        service(upstream.service())
                .recordAnswer(upstream, millis, calls, millis <= targetMillis, mSchedule.millis());
    }

    /**
     * Records the first event of a stream. Its time is no measurement of the work, which goes on.
     *
     * @param millis the time since the call was sent, milliseconds
     * @param targetMillis the target of the first event, milliseconds
     */
    public void recordFirstEvent(UpstreamEntry upstream, long millis, long targetMillis) {
        service(upstream.service()).recordTarget(upstream, millis <= targetMillis);
    }

    /** Records the failure of a call; an error answer is no measurement of the upstream's load. */
    public void recordFailure(UpstreamEntry upstream, AttemptEnd end) {
        if (end.isTurnedAway()) {
            recordFull(upstream);
        } else if (end.unreachable()) {
            service(upstream.service()).recordLost(upstream, mSchedule.millis());
        }
    }

    private void recordFull(UpstreamEntry upstream) {
        long now = mSchedule.millis();
        mTurnedAway.inc();
        service(upstream.service()).recordFull(upstream, now);
        if (mFullLog.tryAcquire(now)) {
            LOGGER.info(
                    "plain call turned away id={} calls={}",
                    upstream.id(),
                    mFleet.calls().applyAsInt(upstream));
        }
    }

    /** Returns the counters of calls whose upstream was silent. */
    public SilentCalls silentCalls() {
        return mSilentCalls;
    }

    /** Returns when to consider a second upstream for a repeatable call, in milliseconds. */
    public long secondTryDelayMillis(PlainCall call) {
        return service(call.service()).secondTryDelayMillis(call);
    }

    /**
     * Returns the upstreams to which a repeatable call may be sent beside one that is silent.
     *
     * @param first the upstream that is silent
     * @param silentMillis for how long
     * @param call the call, with the other upstreams
     * @param inTime whether only those are returned at which the target is met
     * @return the upstreams, in order of preference
     */
    public List<UpstreamEntry> secondUpstreams(
            UpstreamEntry first, long silentMillis, PlainCall call, boolean inTime) {
        return service(call.service())
                .secondUpstreams(first, silentMillis, call, inTime, mSchedule.millis());
    }

    /** Returns the calls that arrived at this router recently. */
    public RecentArrivals arrivals() {
        List<RecentArrivals.Entry> entries = new ArrayList<>();
        long now = mSchedule.millis();
        mServices.forEach((name, service) -> service.demand().addEntries(name, now, entries));
        return RecentArrivals.of(entries);
    }

    /** Returns the calls that wait at this router. */
    public WaitingReport report() {
        if (mWaitingCalls == 0) {
            return WaitingReport.NONE;
        }
        List<WaitingReport.Entry> entries = new ArrayList<>();
        mServices.values().forEach(service -> addEntries(service, entries));
        // the report's invariant: one entry for each level and organisation
        return WaitingReport.NONE.plus(List.of(new WaitingReport(entries, Map.of(), 0)));
    }

    /** Returns the state of the upstreams as of the last decisions. */
    public List<UpstreamStatus> statuses() {
        List<UpstreamStatus> statuses = new ArrayList<>();
        mServices.forEach((name, service) -> service.addStatuses(name, statuses));
        return statuses;
    }

    /** Discards the state of upstreams that are no longer listed. */
    public void retain(Set<UpstreamIncarnation> listed) {
        mServices.values().forEach(service -> service.retain(listed));
    }

    private ServiceCalls service(String name) {
        ServiceCalls service = mServices.get(name);
        if (service == null) {
            service = new ServiceCalls(mFleet);
            mServices.put(name, service);
        }
        return service;
    }
}
