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
 * Permits for decode slots that an engine's coordinator hands out in small batches and that routers
 * keep for reuse. Confined to the control thread. Both halves live here: the holder's side for
 * every engine, the coordinator's side for the engines that this router looks after. Invariant: a
 * coordinator that has just begun gives nothing until it has heard what the others hold.
 */
public final class CoordinatorPermits implements DecodePermits {

    /** How often idle permits and hungry routers are looked at, milliseconds. */
    private static final long TICK_MILLIS = 50;

    /** How often holdings are reported, milliseconds. */
    private static final long REPORT_MILLIS = 300;

    /** How long a permit may lie idle before it goes back, nanoseconds. */
    private static final long IDLE_NANOS = 150_000_000L;

    /** How long a new coordinator listens before it gives, nanoseconds. */
    private static final long LISTEN_NANOS = 700_000_000L;

    /** How long an unanswered wish is taken to be under way, nanoseconds. */
    private static final long ASKED_NANOS = 60_000_000L;

    /** How long a router's wish counts at the coordinator, nanoseconds. */
    private static final long WISH_NANOS = 250_000_000L;

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** Who the routers are. */
    private final Membership mMembership;

    /** All upstreams. */
    private final UpstreamRegistry mUpstreamRegistry;

    /** Sends a message to a router. */
    private final Sender mSender;

    /** Starts what waits, after permits have come. */
    private final Runnable mPump;

    /** What this router holds, by engine. */
    private final Map<UpstreamId, Holding> mHoldings = new HashMap<>();

    /** What this router gives, by engine. */
    private final Map<UpstreamId, Allocation> mAllocations = new HashMap<>();

    /** The members at the last tick, so that a change of coordinators is noticed. */
    private List<Member> mMembers = List.of();

    /** Sends a message to a router. */
    public interface Sender {

        /**
         * Sends a message.
         *
         * @param to the router
         * @param message the message
         */
        void send(Incarnation to, PeerMessage message);
    }

    /** What this router holds of one engine's slots. */
    private static final class Holding {

        /** Permits in use. */
        private int mUsed;

        /** Permits at hand. */
        private int mFree;

        /** Since when some are at hand that nobody wants. */
        private long mIdleSince;

        /** When more were asked for last. */
        private long mAskedAt;

        /** Whether the answer to the last wish is awaited. */
        private boolean mAsked;

        /** The coordinator that gave last. */
        private Incarnation mGiver;

        /** How many that coordinator has given in all. */
        private long mReceived;

        /**
         * Tells how many a coordinator has given in all.
         *
         * @param coordinator the coordinator
         * @return the count, 0 for another than the last
         */
        long received(Incarnation coordinator) {
            return coordinator.equals(mGiver) ? mReceived : 0;
        }

        /**
         * Returns how many permits are held.
         *
         * @return used and free
         */
        int held() {
            return mUsed + mFree;
        }
    }

    /** What this router gives of one engine's slots. */
    private static final class Allocation {

        /** What each router holds, as far as is known. */
        private final Map<Incarnation, Integer> mHeld = new HashMap<>();

        /** How many each router was given in all. */
        private final Map<Incarnation, Long> mGiven = new HashMap<>();

        /** What each router wants, oldest wish first. */
        private final Map<Incarnation, Wish> mWishes = new LinkedHashMap<>();

        /** Since when this router looks after the engine. */
        private final long mSince;

        /**
         * Creates an allocation.
         *
         * @param since since when
         */
        Allocation(long since) {
            mSince = since;
        }

        /**
         * Takes note of what a router holds; permits that are on their way to it count as held.
         *
         * @param router the router
         * @param held how many it says it holds
         * @param received how many it says it was given
         */
        void holds(Incarnation router, int held, long received) {
            long given = mGiven.getOrDefault(router, 0L);
            mHeld.put(router, held + (int) Math.max(0, given - received));
        }

        /**
         * Counts what is out.
         *
         * @return permits held by all routers
         */
        int out() {
            return mHeld.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * A router's wish.
     *
     * @param count how many it wants
     * @param at when it said so
     */
    private record Wish(int count, long at) {}

    /**
     * Creates permits.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param membership who the routers are
     * @param registry all upstreams
     * @param sender sends a message to a router
     * @param pump starts what waits
     */
    public CoordinatorPermits(
            Node node,
            Membership membership,
            UpstreamRegistry registry,
            Sender sender,
            Runnable pump) {
        mNode = node;
        mMembership = membership;
        mUpstreamRegistry = registry;
        mSender = sender;
        mPump = pump;
        node.control().scheduleWithFixedDelay(this::tick, TICK_MILLIS);
        node.control().scheduleWithFixedDelay(this::report, REPORT_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public boolean available(UpstreamState decode) {
        return holding(decode.declared().id()).mFree > 0;
    }

    /** {@inheritDoc} */
    @Override
    public void take(UpstreamState decode) {
        Holding holding = holding(decode.declared().id());
        holding.mFree--;
        holding.mUsed++;
    }

    /** {@inheritDoc} */
    @Override
    public void giveBack(UpstreamState decode) {
        Holding holding = holding(decode.declared().id());
        holding.mUsed--;
        if (holding.mFree == 0) {
            holding.mIdleSince = now();
        }
        holding.mFree++;
    }

    /** {@inheritDoc} */
    @Override
    public void refusedBy(UpstreamState decode) {
        mNode.count("permits.refused-by-engine");
    }

    /** {@inheritDoc} */
    @Override
    public void wanted(Iterable<UpstreamState> decodes, int waiting) {
        int engines = 0;
        for (UpstreamState ignored : decodes) {
            engines++;
        }
        int each = Math.max(1, (waiting + engines - 1) / engines);
        for (UpstreamState decode : decodes) {
            ask(decode.declared().id(), each);
        }
    }

    /**
     * Asks an engine's coordinator for permits, unless the last wish is still under way.
     *
     * @param engine the engine
     * @param count how many
     */
    private void ask(UpstreamId engine, int count) {
        Holding holding = holding(engine);
        long now = now();
        if (holding.mAsked && now - holding.mAskedAt < ASKED_NANOS) {
            return;
        }
        holding.mAsked = true;
        holding.mAskedAt = now;
        tell(engine, holding, count);
    }

    /**
     * Tells an engine's coordinator, which may be this router, what is held and wanted.
     *
     * @param engine the engine
     * @param holding what is held
     * @param wanted how many more are wanted
     */
    private void tell(UpstreamId engine, Holding holding, int wanted) {
        Incarnation coordinator = coordinator(engine);
        PeerMessage.PermitAsk ask =
                new PeerMessage.PermitAsk(
                        engine.value(), holding.held(), holding.received(coordinator), wanted);
        if (coordinator.equals(self())) {
            mNode.control().execute(() -> asked(self(), ask));
        } else {
            mSender.send(coordinator, ask);
        }
    }

    /**
     * Takes a wish, as coordinator.
     *
     * @param from who wants
     * @param ask what it holds and wants
     */
    public void asked(Incarnation from, PeerMessage.PermitAsk ask) {
        UpstreamId engine = new UpstreamId(ask.engine());
        Allocation allocation = allocation(engine);
        if (allocation == null) {
            return;
        }
        allocation.holds(from, ask.held(), ask.received());
        allocation.mWishes.remove(from);
        if (ask.wanted() > 0) {
            allocation.mWishes.put(from, new Wish(ask.wanted(), now()));
        }
        serve(engine, allocation);
    }

    /**
     * Takes note of what a router holds.
     *
     * @param from the router
     * @param report what it says
     */
    public void reported(Incarnation from, PeerMessage.PermitReport report) {
        Allocation allocation = allocation(new UpstreamId(report.engine()));
        if (allocation != null) {
            allocation.holds(from, report.held(), report.received());
        }
    }

    /**
     * Gives what is free to those who want it, oldest wish first, and asks for idle permits where
     * that is not enough.
     *
     * @param engine the engine
     * @param allocation what is given
     */
    private void serve(UpstreamId engine, Allocation allocation) {
        UpstreamState state = mUpstreamRegistry.get(engine);
        long now = now();
        if (state == null || now - allocation.mSince < LISTEN_NANOS) {
            return;
        }
        allocation.mWishes.values().removeIf(wish -> now - wish.at() > WISH_NANOS);
        int free = state.declared().slots() - allocation.out();
        while (free > 0 && !allocation.mWishes.isEmpty()) {
            Incarnation first = allocation.mWishes.keySet().iterator().next();
            Wish wish = allocation.mWishes.remove(first);
            int fair = Math.max(1, free / (allocation.mWishes.size() + 1));
            int given = Math.min(wish.count(), fair);
            free -= given;
            allocation.mHeld.merge(first, given, Integer::sum);
            allocation.mGiven.merge(first, (long) given, Long::sum);
            give(first, new PeerMessage.PermitGrant(engine.value(), given));
        }
        if (!allocation.mWishes.isEmpty()) {
            allocation.mHeld.keySet().stream()
                    .filter(holder -> !allocation.mWishes.containsKey(holder))
                    .filter(holder -> !holder.equals(self()))
                    .forEach(
                            holder ->
                                    mSender.send(
                                            holder, new PeerMessage.PermitRecall(engine.value())));
            recalled(engine);
        }
    }

    /**
     * Gives permits to a router, which may be this one.
     *
     * @param to the router
     * @param grant the permits
     */
    private void give(Incarnation to, PeerMessage.PermitGrant grant) {
        mNode.count("permits.granted");
        if (to.equals(self())) {
            granted(self(), grant);
        } else {
            mSender.send(to, grant);
        }
    }

    /**
     * Takes permits that a coordinator gave.
     *
     * @param from the coordinator
     * @param grant the permits
     */
    public void granted(Incarnation from, PeerMessage.PermitGrant grant) {
        Holding holding = holding(new UpstreamId(grant.engine()));
        holding.mReceived = holding.received(from) + grant.count();
        holding.mGiver = from;
        if (holding.mFree == 0) {
            holding.mIdleSince = now();
        }
        holding.mAsked = false;
        holding.mFree += grant.count();
        mPump.run();
    }

    /**
     * Gives idle permits back because a coordinator wants them.
     *
     * @param engine the engine
     */
    public void recalled(UpstreamId engine) {
        Holding holding = holding(engine);
        if (holding.mFree > 0) {
            holding.mFree = 0;
            tell(engine, holding, 0);
        }
    }

    /**
     * Tells how many permits of an engine this router holds.
     *
     * @param engine the engine
     * @return used and free
     */
    public int held(UpstreamId engine) {
        return holding(engine).held();
    }

    /** Tells every engine's coordinator what this router holds. */
    private void report() {
        mHoldings.forEach(
                (engine, holding) -> {
                    Incarnation coordinator = coordinator(engine);
                    PeerMessage.PermitReport report =
                            new PeerMessage.PermitReport(
                                    engine.value(), holding.held(), holding.received(coordinator));
                    if (coordinator.equals(self())) {
                        reported(self(), report);
                    } else {
                        mSender.send(coordinator, report);
                    }
                });
    }

    /** Gives back what lies idle, notices new coordinators and forgets routers that are gone. */
    private void tick() {
        List<Member> members = mMembership.serving();
        if (!members.equals(mMembers)) {
            mMembers = members;
            mAllocations.keySet().removeIf(engine -> !looksAfter(engine));
        }
        long now = now();
        mHoldings.forEach(
                (engine, holding) -> {
                    if (holding.mFree > 0 && now - holding.mIdleSince > IDLE_NANOS) {
                        recalled(engine);
                    }
                });
        mAllocations.forEach(
                (engine, allocation) -> {
                    allocation.mHeld.keySet().removeIf(mMembership::isGone);
                    serve(engine, allocation);
                });
    }

    /**
     * Finds or begins a allocation.
     *
     * @param engine the engine
     * @return the allocation, or null where another router looks after the engine
     */
    private Allocation allocation(UpstreamId engine) {
        if (!looksAfter(engine)) {
            return null;
        }
        return mAllocations.computeIfAbsent(engine, id -> new Allocation(now()));
    }

    /**
     * Finds an engine's coordinator.
     *
     * @param engine the engine
     * @return the router that looks after it, as this one sees it
     */
    private Incarnation coordinator(UpstreamId engine) {
        if (mMembers.isEmpty()) {
            mMembers = mMembership.serving();
        }
        return CoordinatorSelector.select(engine.value(), mMembers);
    }

    /**
     * Returns whether this router looks after an engine.
     *
     * @param engine the engine
     * @return whether it is the engine's coordinator
     */
    private boolean looksAfter(UpstreamId engine) {
        return coordinator(engine).equals(self());
    }

    /**
     * Finds what this router holds of an engine.
     *
     * @param engine the engine
     * @return what it holds
     */
    private Holding holding(UpstreamId engine) {
        return mHoldings.computeIfAbsent(engine, id -> new Holding());
    }

    /**
     * Returns this router.
     *
     * @return its incarnation
     */
    private Incarnation self() {
        return mNode.incarnation();
    }

    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds
     */
    private long now() {
        return mNode.nanos().getAsLong();
    }
}
