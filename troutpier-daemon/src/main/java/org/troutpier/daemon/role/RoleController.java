package org.troutpier.daemon.role;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.decision.RoleChangePolicy;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.route.CurrentConfiguration;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.rows.RowStore;

/**
 * Keeps the engines' roles in step with the load. Confined to the control thread; {@link
 * #holdsLease()} and {@link #changingEngines()} are thread safe. Invariants: orders are given only
 * under the lease; all changes that are under way for a service began together and are to the same
 * role; an order whose fate is unknown is only ever repeated, never followed by another, until the
 * engine's report tells what came of it.
 */
public final class RoleController {

    /** How often it is looked whether a change is due, milliseconds. */
    private static final long TICK_MILLIS = 500;

    /**
     * The shortest term of the lease, milliseconds: it is renewed three times in a term, and looked
     * after every tick.
     */
    private static final long SHORTEST_TERM_MILLIS = 3 * TICK_MILLIS;

    /** How long after a change the load is watched before the next one, milliseconds. */
    private static final long SETTLE_MILLIS = 4000;

    /**
     * How long a change may take beyond the engine's own time for it, milliseconds: its runs come
     * to their end first.
     */
    private static final long RUNS_MILLIS = 15_000;

    /** Logs each decision. */
    private static final Logger LOGGER = LogManager.getLogger(RoleController.class);

    /** The router's identity, threads, clock and metrics. */
    private final Node mNode;

    /** The version in force. */
    private final CurrentConfiguration mConfiguration;

    /** The engines. */
    private final UpstreamDirectory mDirectory;

    /** What the other routers said. */
    private final PeerLoads mPeers;

    /** What callers asked of this router lately, by service; thread safe. */
    private final Function<String, Demand> mOwnDemand;

    /** Whether this router tries to get the lease. */
    private final BooleanSupplier mContends;

    /** Gives orders. */
    private final EngineRoleClient mOrders;

    /** The right to give orders. */
    private final RoleLease mLease;

    /** The state of each service. */
    private final Map<String, ServiceRoles> mServices = new HashMap<>();

    /** Whether this router holds the lease, for other threads. */
    private volatile boolean mHolds;

    /** The engines that are being changed, for other threads. */
    private volatile Set<UpstreamIncarnation> mChanging = Set.of();

    /** Runs when they change. */
    private Runnable mOnChanging = () -> {};

    /** One service's state. */
    private static final class ServiceRoles {

        /** Weighs whether a change pays. */
        private final RoleChangePolicy mInvestment = new RoleChangePolicy();

        /** The changes that are under way. */
        private final List<Change> mChanges = new ArrayList<>();

        /** Whether all engines are being asked how they stand. */
        private boolean mInspecting;

        /** Before when no change is begun, milliseconds. */
        private long mNotBefore;
    }

    /** One engine's change. */
    private static final class Change {

        /** The engine that is being changed. */
        private final UpstreamEntry mEngine;

        /** What it is to do. */
        private final UpstreamEntry.Role mRole;

        /** When the change was begun, milliseconds. */
        private final long mBegan;

        /** When the change is given up, milliseconds. */
        private final long mUntil;

        /** How many orders the engine had taken before; -1 for not yet known. */
        private long mOrdersBefore = -1;

        /** Whether the order was taken for certain. */
        private boolean mTaken;

        /** Whether a call to the engine is under way. */
        private boolean mCalling;

        /** Whether it is over. */
        private boolean mOver;

        /**
         * Begins a change.
         *
         * @param engine the engine
         * @param role what it is to do
         * @param began when the change was begun, milliseconds
         * @param until when it is given up, milliseconds
         */
        Change(UpstreamEntry engine, UpstreamEntry.Role role, long began, long until) {
            mEngine = engine;
            mRole = role;
            mBegan = began;
            mUntil = until;
        }
    }

    /**
     * How the right to decide is got. Immutable; thread safe if its parts are.
     *
     * @param store where the lease is kept
     * @param leaseMillis how long the lease lasts without renewal, milliseconds
     * @param contends whether this router tries to get it now. Where all do, each start of a fleet
     *     is four calls to the store for each router, and all but one of their writes are in
     *     conflict; one router of each hall is enough
     */
    public record LeaseOptions(RowStore store, long leaseMillis, BooleanSupplier contends) {}

    /**
     * Creates a controller.
     *
     * @param node the router's identity, threads, clock and metrics
     * @param configuration the version in force
     * @param directory the engines
     * @param peers what the other routers said
     * @param ownDemand what callers asked of this router lately, by service; thread safe
     * @param orders gives orders
     * @param candidacy how the right to decide is got
     */
    public RoleController(
            Node node,
            CurrentConfiguration configuration,
            UpstreamDirectory directory,
            PeerLoads peers,
            Function<String, Demand> ownDemand,
            EngineRoleClient orders,
            LeaseOptions candidacy) {
        mContends = candidacy.contends();
        mNode = node;
        mConfiguration = configuration;
        mDirectory = directory;
        mPeers = peers;
        mOwnDemand = ownDemand;
        mOrders = orders;
        long term = Math.max(candidacy.leaseMillis(), SHORTEST_TERM_MILLIS);
        mLease = new RoleLease(node, candidacy.store(), term);
    }

    /** Starts to control. */
    public void start() {
        mNode.control().every(this::tick, TICK_MILLIS);
    }

    /**
     * Returns whether this router decides engines' roles.
     *
     * @return whether it holds the lease
     */
    public boolean holdsLease() {
        return mHolds;
    }

    /**
     * Returns the engines that are being changed by this router's orders.
     *
     * @return their ids
     */
    public Set<UpstreamIncarnation> changingEngines() {
        return mChanging;
    }

    /** Looks whether a change is due. */
    private void tick() {
        Optional<RoutingConfiguration> configuration = mConfiguration.current();
        if (configuration.isEmpty() || !mDirectory.isLoaded()) {
            return;
        }
        mLease.tick(mPeers.hasRoleHolder(), mContends.getAsBoolean());
        mHolds = mLease.held();
        if (mLease.mayOrder()) {
            configuration
                    .get()
                    .services()
                    .forEach(
                            (name, service) ->
                                    service.engine().ifPresent(engine -> control(name, engine)));
        } else {
            mServices.forEach(this::watch);
        }
        changingEngines(
                mServices.values().stream()
                        .flatMap(service -> service.mChanges.stream())
                        .filter(change -> change.mOrdersBefore >= 0)
                        .map(change -> change.mEngine.incarnation())
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Watches changes that this router ordered before it lost the lease. The engines go on with
     * them and refuse runs, so the others are told of them until they are over; nothing is ordered.
     *
     * @param service the service
     * @param roles its state
     */
    private void watch(String service, ServiceRoles roles) {
        if (!roles.mChanges.isEmpty()) {
            List<UpstreamEntry> engines = mDirectory.usable(service);
            roles.mChanges.forEach(change -> look(roles, change, engines));
            settle(roles);
        }
    }

    /**
     * Sets what runs when the engines that are being changed are others than before.
     *
     * @param action the action, run on the control thread
     */
    public void onChangingEngines(Runnable action) {
        mNode.control().execute(() -> mOnChanging = action);
    }

    /**
     * Takes which engines are being changed.
     *
     * @param changing their ids
     */
    private void changingEngines(Set<UpstreamIncarnation> changing) {
        if (!changing.equals(mChanging)) {
            mChanging = changing;
            mOnChanging.run();
        }
    }

    /**
     * Looks whether a service's engines need a change.
     *
     * @param service the service
     * @param traits what its engines can do
     */
    private void control(String service, EngineTraits traits) {
        ServiceRoles roles = mServices.computeIfAbsent(service, name -> new ServiceRoles());
        List<UpstreamEntry> engines = mDirectory.usable(service);
        if (!roles.mChanges.isEmpty()) {
            roles.mChanges.forEach(change -> follow(roles, change, engines));
            settle(roles);
            return;
        }
        int prefill = (int) engines.stream().filter(RoleController::reads).count();
        Demand demand = mOwnDemand.apply(service).plus(mPeers.demand(service));
        RoleChangePolicy.EnginePool staffing =
                new RoleChangePolicy.EnginePool(
                        prefill,
                        engines.size() - prefill,
                        traits.memoryTokens(),
                        traits.switchMillis(),
                        decoding(engines));
        long now = mNode.millis();
        RoleChangePolicy.Step step = roles.mInvestment.evaluate(now, staffing, demand);
        if (step == RoleChangePolicy.Step.STAY || now < roles.mNotBefore || roles.mInspecting) {
            return;
        }
        LOGGER.info(
                "role change wanted service={} step={} engines={} staffing={} {} demand={}",
                service,
                step,
                roles.mInvestment.engineCount(),
                staffing,
                roles.mInvestment.lossSummary(),
                demand);
        inspect(roles, engines, step == RoleChangePolicy.Step.MORE_PREFILL, traits);
    }

    /**
     * Returns what the other routers have under way at engines that decode.
     *
     * @param engines the engines
     * @return tokens
     */
    private long decoding(List<UpstreamEntry> engines) {
        return engines.stream()
                .filter(engine -> !reads(engine))
                .mapToLong(engine -> mPeers.upstreamUsage(engine.incarnation()).tokens())
                .sum();
    }

    /**
     * Returns whether an engine reads prompts.
     *
     * @param engine the engine
     * @return whether it does
     */
    private static boolean reads(UpstreamEntry engine) {
        return engine.role() == UpstreamEntry.Role.PREFILL;
    }

    /**
     * Asks all engines how they stand, so that no change is begun beside one that an earlier holder
     * of the lease ordered.
     *
     * @param roles the service's state
     * @param engines the engines
     * @param toPrefill whether more engines are to read prompts
     * @param traits what the engines can do
     */
    private void inspect(
            ServiceRoles roles,
            List<UpstreamEntry> engines,
            boolean toPrefill,
            EngineTraits traits) {
        roles.mInspecting = true;
        int count = roles.mInvestment.engineCount();
        List<CompletableFuture<Boolean>> idle =
                engines.stream()
                        .map(
                                engine ->
                                        mOrders.report(engine)
                                                .handle(
                                                        (report, failure) ->
                                                                failure != null
                                                                        || !report.changing()))
                        .toList();
        CompletableFuture.allOf(idle.toArray(CompletableFuture[]::new))
                .thenRun(
                        () ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    roles.mInspecting = false;
                                                    if (idle.stream()
                                                            .allMatch(CompletableFuture::join)) {
                                                        begin(
                                                                roles, engines, count, toPrefill,
                                                                traits);
                                                    }
                                                    settle(roles);
                                                }));
    }

    /**
     * Begins changes at the least used engines.
     *
     * @param roles the service's state
     * @param engines the engines
     * @param count how many are to change
     * @param toPrefill whether they are to read prompts
     * @param traits what the engines can do
     */
    private void begin(
            ServiceRoles roles,
            List<UpstreamEntry> engines,
            int count,
            boolean toPrefill,
            EngineTraits traits) {
        long now = mNode.millis();
        UpstreamEntry.Role role =
                toPrefill ? UpstreamEntry.Role.PREFILL : UpstreamEntry.Role.DECODE;
        engines.stream()
                .filter(each -> reads(each) != toPrefill)
                .sorted(
                        Comparator.<UpstreamEntry>comparingLong(
                                        each -> mPeers.upstreamUsage(each.incarnation()).tokens())
                                .thenComparing(UpstreamEntry::incarnation))
                .limit(count)
                .map(each -> new Change(each, role, now, now + traits.switchMillis() + RUNS_MILLIS))
                .forEach(roles.mChanges::add);
        roles.mChanges.forEach(this::report);
    }

    /**
     * Follows a change that was begun.
     *
     * @param roles the service's state
     * @param change the change
     * @param engines the service's engines as they are listed
     */
    private void follow(ServiceRoles roles, Change change, List<UpstreamEntry> engines) {
        look(roles, change, engines);
        if (!change.mOver && !change.mTaken && !change.mCalling) {
            report(change);
        }
    }

    /**
     * Drops the changes that are over. After the last one the load is watched for a while.
     *
     * @param roles the service's state
     */
    private void settle(ServiceRoles roles) {
        roles.mChanges.removeIf(change -> change.mOver);
        if (roles.mChanges.isEmpty()) {
            roles.mInvestment.reset();
            roles.mNotBefore = mNode.millis() + SETTLE_MILLIS;
        }
    }

    /**
     * Ends a change that is done or given up.
     *
     * @param roles the service's state
     * @param change the change
     * @param engines the service's engines as they are listed
     */
    private void look(ServiceRoles roles, Change change, List<UpstreamEntry> engines) {
        Optional<UpstreamEntry> listed =
                engines.stream()
                        .filter(each -> each.incarnation().equals(change.mEngine.incarnation()))
                        .findFirst();
        boolean done = listed.isPresent() && listed.get().role() == change.mRole;
        boolean ended = done || listed.isEmpty() || mNode.millis() > change.mUntil;
        if (ended) {
            LOGGER.info(
                    "role change ended engine={} done={} listed={}",
                    change.mEngine.id(),
                    done,
                    listed.isPresent());
            if (done) {
                roles.mInvestment.recordChange(mNode.millis() - change.mBegan);
            }
            change.mOver = true;
        }
    }

    /**
     * Asks the engine how it stands, to order with what it says.
     *
     * @param change the change
     */
    private void report(Change change) {
        change.mCalling = true;
        UpstreamEntry engine = change.mEngine;
        mOrders.report(engine)
                .whenComplete(
                        (report, failure) ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    change.mCalling = false;
                                                    if (!change.mOver
                                                            && failure == null
                                                            && report.incarnation()
                                                                    .mayBe(engine.incarnation())) {
                                                        reported(change, report);
                                                    }
                                                }));
    }

    /**
     * Orders, unless the engine changes already.
     *
     * @param change the change
     * @param report how the engine stands
     */
    private void reported(Change change, EngineRoleClient.EngineReport report) {
        boolean taken = change.mOrdersBefore >= 0 && report.orders() > change.mOrdersBefore;
        if (taken || report.changing() || report.role() == change.mRole) {
            change.mTaken = true;
            return;
        }
        if (!mLease.mayOrder()) {
            return;
        }
        change.mOrdersBefore = report.orders();
        change.mCalling = true;
        UpstreamEntry engine = change.mEngine;
        EngineRoleClient.LeaseGrant right = mLease.right();
        LOGGER.info(
                "order engine={} role={} token={} ordersBefore={}",
                engine.id(),
                change.mRole,
                right.fencingToken(),
                report.orders());
        mOrders.changeRole(engine, change.mRole, right, report.orders())
                .thenAccept(
                        outcome ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    change.mCalling = false;
                                                    if (!change.mOver) {
                                                        ordered(change, outcome);
                                                    }
                                                }));
    }

    /**
     * Takes what is known of the order. What was refused is over, and dropped with the next look.
     *
     * @param change the change
     * @param outcome what is known
     */
    private void ordered(Change change, EngineRoleClient.Outcome outcome) {
        LOGGER.info("order engine={} outcome={}", change.mEngine.id(), outcome);
        switch (outcome) {
            case TAKEN, ALREADY -> change.mTaken = true;
            case REFUSED -> change.mOver = true;
            default -> change.mTaken = false;
        }
    }
}
