package org.troutpier.daemon.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.CoordinatorSelector;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * Permits for decode slots, granted in small batches by the coordinator of each engine and kept for
 * reuse by routers. Confined to the control thread. Implements both sides: the holder's for every
 * engine, and the coordinator's for the engines that this router coordinates. Invariant: a new
 * coordinator grants nothing during a delay in which the other routers report their holdings.
 */
public final class CoordinatorPermits implements DecodePermits {

    /** Interval at which idle permits and open requests are checked. */
    private static final long TICK_INTERVAL_MILLIS = 50;

    /** Interval at which holdings are reported to the coordinators. */
    private static final long REPORT_INTERVAL_MILLIS = 300;

    /** Time after which an idle permit is returned. */
    private static final long IDLE_TIMEOUT_NANOS = 150_000_000L;

    /**
     * Time for which a new coordinator collects reports before it grants permits; more than two
     * report intervals.
     */
    private static final long STARTUP_DELAY_NANOS = 700_000_000L;

    /** Time for which an unanswered request is considered pending and is not repeated. */
    private static final long REQUEST_TIMEOUT_NANOS = 60_000_000L;

    /** Time for which the coordinator keeps a request that it cannot satisfy. */
    private static final long REQUEST_TTL_NANOS = 250_000_000L;

    private final Node mNode;

    private final Membership mMembership;

    private final UpstreamRegistry mUpstreamRegistry;

    private final Sender mSender;

    /** Called when permits have been granted, to start waiting requests. */
    private final Runnable mOnPermits;

    /** Permits that this router holds, by engine. */
    private final Map<UpstreamId, Holding> mHoldings = new HashMap<>();

    /** Permits that this router has granted as coordinator, by engine. */
    private final Map<UpstreamId, Allocation> mAllocations = new HashMap<>();

    /** The members at the last tick, to detect changes of coordinators. */
    private List<Member> mMembers = List.of();

    /** Sends a message to a router. */
    public interface Sender {

        /** Sends a message. */
        void send(Incarnation to, PeerMessage message);
    }

    /** Permits of one engine that this router holds. */
    private static final class Holding {

        private int mUsed;

        private int mFree;

        /** Time since which free permits have been available. */
        private long mIdleSince;

        /** Time of the last request for permits. */
        private long mRequestedAt;

        /** Whether the last request has not been answered yet. */
        private boolean mRequestPending;

        /** Coordinator that granted permits last. */
        private Incarnation mGrantor;

        /** Total number of permits that this coordinator has granted. */
        private long mReceived;

        /**
         * Returns the total number of permits received from a coordinator; 0 if another one granted
         * last.
         */
        long received(Incarnation coordinator) {
            return coordinator.equals(mGrantor) ? mReceived : 0;
        }

        /** Returns the number of permits held, used and free. */
        int held() {
            return mUsed + mFree;
        }
    }

    /** Permits of one engine that this router has granted as coordinator. */
    private static final class Allocation {

        /** Permits held by each router, as far as known. */
        private final Map<Incarnation, Integer> mHeld = new HashMap<>();

        /** Total number of permits granted to each router. */
        private final Map<Incarnation, Long> mGranted = new HashMap<>();

        /** Open requests by router, oldest first. */
        private final Map<Incarnation, PermitRequest> mRequests = new LinkedHashMap<>();

        /** Time since which this router has coordinated the engine. */
        private final long mCoordinatorSince;

        Allocation(long coordinatorSince) {
            mCoordinatorSince = coordinatorSince;
        }

        /**
         * Records what a router holds. Permits that were granted but not yet received count as
         * held.
         *
         * @param router the router
         * @param held number of permits that it reports to hold
         * @param received total number of permits that it reports to have received
         */
        void recordHolding(Incarnation router, int held, long received) {
            long granted = mGranted.getOrDefault(router, 0L);
            mHeld.put(router, held + (int) Math.max(0, granted - received));
        }

        /** Returns the number of permits held by all routers. */
        int totalHeld() {
            return mHeld.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * Request of a router for permits.
     *
     * @param count number of permits requested
     * @param at time of the request
     */
    private record PermitRequest(int count, long at) {}

    /**
     * Creates permits.
     *
     * @param node identity, threads, clock and metrics of this router
     * @param membership the routers
     * @param registry all upstreams
     * @param sender sends messages to routers
     * @param onPermits called when permits have been granted
     */
    public CoordinatorPermits(
            Node node,
            Membership membership,
            UpstreamRegistry registry,
            Sender sender,
            Runnable onPermits) {
        mNode = node;
        mMembership = membership;
        mUpstreamRegistry = registry;
        mSender = sender;
        mOnPermits = onPermits;
        node.control().scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS);
        node.control().scheduleWithFixedDelay(this::report, REPORT_INTERVAL_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public boolean isAvailable(UpstreamState decode) {
        return holding(decode.declaration().id()).mFree > 0;
    }

    /** {@inheritDoc} */
    @Override
    public void acquire(UpstreamState decode) {
        Holding holding = holding(decode.declaration().id());
        holding.mFree--;
        holding.mUsed++;
    }

    /** {@inheritDoc} */
    @Override
    public void release(UpstreamState decode) {
        Holding holding = holding(decode.declaration().id());
        holding.mUsed--;
        if (holding.mFree == 0) {
            holding.mIdleSince = now();
        }
        holding.mFree++;
    }

    /** {@inheritDoc} */
    @Override
    public void onRefusal(UpstreamState decode) {
        mNode.count("permits.refused-by-engine");
    }

    /** {@inheritDoc} */
    @Override
    public void requestPermits(Iterable<UpstreamState> decodes, int waiting) {
        int engineCount = 0;
        for (UpstreamState ignored : decodes) {
            engineCount++;
        }
        int perEngine = Math.max(1, (waiting + engineCount - 1) / engineCount);
        for (UpstreamState decode : decodes) {
            requestUnlessPending(decode.declaration().id(), perEngine);
        }
    }

    /** Requests permits from the coordinator of an engine, unless a request is pending. */
    private void requestUnlessPending(UpstreamId engine, int count) {
        Holding holding = holding(engine);
        long now = now();
        if (holding.mRequestPending && now - holding.mRequestedAt < REQUEST_TIMEOUT_NANOS) {
            return;
        }
        holding.mRequestPending = true;
        holding.mRequestedAt = now;
        sendAsk(engine, holding, count);
    }

    /**
     * Sends what is held and how many more permits are requested to the coordinator of an engine,
     * which may be this router.
     */
    private void sendAsk(UpstreamId engine, Holding holding, int wanted) {
        Incarnation coordinator = coordinator(engine);
        PeerMessage.PermitAsk ask =
                new PeerMessage.PermitAsk(
                        engine.value(), holding.held(), holding.received(coordinator), wanted);
        if (coordinator.equals(self())) {
            mNode.control().execute(() -> onAsk(self(), ask));
        } else {
            mSender.send(coordinator, ask);
        }
    }

    /** Handles a request for permits, as coordinator. */
    public void onAsk(Incarnation from, PeerMessage.PermitAsk ask) {
        UpstreamId engine = new UpstreamId(ask.engine());
        Allocation allocation = allocation(engine);
        if (allocation == null) {
            return;
        }
        allocation.recordHolding(from, ask.held(), ask.received());
        allocation.mRequests.remove(from);
        if (ask.wanted() > 0) {
            allocation.mRequests.put(from, new PermitRequest(ask.wanted(), now()));
        }
        grantFree(engine, allocation);
    }

    /** Records the holdings that a router reports, as coordinator. */
    public void onReport(Incarnation from, PeerMessage.PermitReport report) {
        Allocation allocation = allocation(new UpstreamId(report.engine()));
        if (allocation != null) {
            allocation.recordHolding(from, report.held(), report.received());
        }
    }

    /**
     * Grants free permits, oldest request first, and recalls idle permits if they do not suffice.
     */
    private void grantFree(UpstreamId engine, Allocation allocation) {
        UpstreamState state = mUpstreamRegistry.get(engine);
        long now = now();
        if (state == null || now - allocation.mCoordinatorSince < STARTUP_DELAY_NANOS) {
            return;
        }
        allocation.mRequests.values().removeIf(request -> now - request.at() > REQUEST_TTL_NANOS);
        int free = state.declaration().slots() - allocation.totalHeld();
        while (free > 0 && !allocation.mRequests.isEmpty()) {
            Incarnation first = allocation.mRequests.keySet().iterator().next();
            PermitRequest request = allocation.mRequests.remove(first);
            int fairShare = Math.max(1, free / (allocation.mRequests.size() + 1));
            int granted = Math.min(request.count(), fairShare);
            free -= granted;
            allocation.mHeld.merge(first, granted, Integer::sum);
            allocation.mGranted.merge(first, (long) granted, Long::sum);
            sendGrant(first, new PeerMessage.PermitGrant(engine.value(), granted));
        }
        if (!allocation.mRequests.isEmpty()) {
            allocation.mHeld.keySet().stream()
                    .filter(holder -> !allocation.mRequests.containsKey(holder))
                    .filter(holder -> !holder.equals(self()))
                    .forEach(
                            holder ->
                                    mSender.send(
                                            holder, new PeerMessage.PermitRecall(engine.value())));
            returnIdle(engine);
        }
    }

    /** Sends granted permits to a router, which may be this one. */
    private void sendGrant(Incarnation to, PeerMessage.PermitGrant grant) {
        mNode.count("permits.granted");
        if (to.equals(self())) {
            onGrant(self(), grant);
        } else {
            mSender.send(to, grant);
        }
    }

    /** Adds permits that a coordinator granted. */
    public void onGrant(Incarnation from, PeerMessage.PermitGrant grant) {
        Holding holding = holding(new UpstreamId(grant.engine()));
        holding.mReceived = holding.received(from) + grant.count();
        holding.mGrantor = from;
        if (holding.mFree == 0) {
            holding.mIdleSince = now();
        }
        holding.mRequestPending = false;
        holding.mFree += grant.count();
        mOnPermits.run();
    }

    /** Returns the idle permits of an engine to its coordinator. */
    public void returnIdle(UpstreamId engine) {
        Holding holding = holding(engine);
        if (holding.mFree > 0) {
            holding.mFree = 0;
            sendAsk(engine, holding, 0);
        }
    }

    /** Returns the number of permits of an engine that this router holds, used and free. */
    public int heldPermits(UpstreamId engine) {
        return holding(engine).held();
    }

    /** Reports holdings to the coordinator of each engine. */
    private void report() {
        mHoldings.forEach(
                (engine, holding) -> {
                    Incarnation coordinator = coordinator(engine);
                    PeerMessage.PermitReport report =
                            new PeerMessage.PermitReport(
                                    engine.value(), holding.held(), holding.received(coordinator));
                    if (coordinator.equals(self())) {
                        onReport(self(), report);
                    } else {
                        mSender.send(coordinator, report);
                    }
                });
    }

    /**
     * Returns permits that have been idle for too long, drops the allocations of engines that this
     * router no longer coordinates and the holdings of routers that no longer run, and grants free
     * permits to open requests.
     */
    private void tick() {
        List<Member> members = mMembership.serving();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mAllocations.keySet().removeIf(engine -> !isCoordinator(engine));
        }
        long now = now();
        mHoldings.forEach(
                (engine, holding) -> {
                    if (holding.mFree > 0 && now - holding.mIdleSince > IDLE_TIMEOUT_NANOS) {
                        returnIdle(engine);
                    }
                });
        mAllocations.forEach(
                (engine, allocation) -> {
                    allocation.mHeld.keySet().removeIf(mMembership::isGone);
                    grantFree(engine, allocation);
                });
    }

    /**
     * Returns the allocation of an engine, creating it if needed; null if another router
     * coordinates the engine.
     */
    private Allocation allocation(UpstreamId engine) {
        if (!isCoordinator(engine)) {
            return null;
        }
        return mAllocations.computeIfAbsent(engine, id -> new Allocation(now()));
    }

    /** Returns the coordinator of an engine, according to the members known here. */
    private Incarnation coordinator(UpstreamId engine) {
        if (mMembers.isEmpty()) {
            mMembers = mMembership.serving();
        }
        return CoordinatorSelector.select(engine.value(), mMembers);
    }

    private boolean isCoordinator(UpstreamId engine) {
        return coordinator(engine).equals(self());
    }

    private Holding holding(UpstreamId engine) {
        return mHoldings.computeIfAbsent(engine, id -> new Holding());
    }

    private Incarnation self() {
        return mNode.incarnation();
    }

    private long now() {
        return mNode.nanos().getAsLong();
    }
}
