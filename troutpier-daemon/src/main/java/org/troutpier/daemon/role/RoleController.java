package org.troutpier.daemon.role;

import java.util.ArrayList;
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
import org.troutpier.common.id.SoftwareVersion;
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
 * Adapts the roles of engines to the load. Confined to the control thread; {@link #holdsLease()}
 * and {@link #changingEngines()} are thread safe. Invariants: orders are given only under the
 * lease; all changes in progress for a service were started together and have the same target role;
 * an order with an unknown outcome is only ever repeated, never followed by a different one, until
 * the engine's report resolves it.
 */
public final class RoleController {

    private static final long TICK_INTERVAL_MILLIS = 500;

    /**
     * Shortest term of the lease, milliseconds: it is renewed three times per term and checked at
     * each tick.
     */
    private static final long MIN_TERM_MILLIS = 3 * TICK_INTERVAL_MILLIS;

    /** How long the load is observed after a change before the next one, milliseconds. */
    private static final long OBSERVATION_MILLIS = 4000;

    /**
     * How long a change may take beyond the engine's switching time, milliseconds: its runs are
     * completed first.
     */
    private static final long DRAIN_ALLOWANCE_MILLIS = 15_000;

    private static final Logger LOGGER = LogManager.getLogger(RoleController.class);

    /** The identity, threads, clock and metrics of the router. */
    private final Node mNode;

    /** The configuration in force. */
    private final CurrentConfiguration mConfiguration;

    private final UpstreamDirectory mDirectory;

    /** Reports of the other routers. */
    private final PeerLoads mPeers;

    /** Recent demand at this router by service; thread safe. */
    private final Function<String, Demand> mOwnDemand;

    /** Whether this router competes for the lease. */
    private final BooleanSupplier mEligible;

    /** Whether this router reaches the engines. */
    private final BooleanSupplier mAbleToOrder;

    private final EngineRoleClient mClient;

    private final RoleLease mLease;

    private final Map<String, ServiceRoles> mServices = new HashMap<>();

    /** Whether this router holds the lease, for other threads. */
    private volatile boolean mHoldsLease;

    /** The engines whose role is changing, for other threads. */
    private volatile Set<UpstreamIncarnation> mChangingEngines = Set.of();

    /** Called when the set of changing engines changes. */
    private Runnable mOnChangingEngines = () -> {};

    /** State of one service. */
    private static final class ServiceRoles {

        /** Decides whether a change pays off. */
        private final RoleChangePolicy mPolicy = new RoleChangePolicy();

        /** The changes in progress. */
        private final List<RoleChange> mChanges = new ArrayList<>();

        /** Whether the reports of all engines are being requested. */
        private boolean mVerifyingIdle;

        /** Time before which no change is started, milliseconds. */
        private long mNotBefore;
    }

    /**
     * Options of the lease under which a router orders role changes. Immutable; thread safe if its
     * components are.
     *
     * @param store the store of the lease
     * @param leaseMillis how long the lease lasts without renewal, milliseconds
     * @param eligible whether this router competes for the lease now. If all routers did, a start
     *     of the fleet would cost four calls to the store per router, and all writes but one would
     *     be in conflict; one router per hall is enough
     * @param ableToOrder whether this router reaches the engines, to which orders are not forwarded
     */
    public record LeaseOptions(
            RowStore store,
            long leaseMillis,
            BooleanSupplier eligible,
            BooleanSupplier ableToOrder) {}

    /**
     * Creates a controller.
     *
     * @param ownDemand recent demand at this router by service; thread safe
     */
    public RoleController(
            Node node,
            CurrentConfiguration configuration,
            UpstreamDirectory directory,
            PeerLoads peers,
            Function<String, Demand> ownDemand,
            EngineRoleClient client,
            LeaseOptions leaseOptions) {
        mEligible = leaseOptions.eligible();
        mAbleToOrder = leaseOptions.ableToOrder();
        mNode = node;
        mConfiguration = configuration;
        mDirectory = directory;
        mPeers = peers;
        mOwnDemand = ownDemand;
        mClient = client;
        long term = Math.max(leaseOptions.leaseMillis(), MIN_TERM_MILLIS);
        mLease = new RoleLease(node, leaseOptions.store(), term);
    }

    /** Starts the periodic control. */
    public void start() {
        mNode.control().scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS);
    }

    /** Returns whether this router decides the roles of engines. */
    public boolean holdsLease() {
        return mHoldsLease;
    }

    /** Returns the engines whose role is changing by order of this router. */
    public Set<UpstreamIncarnation> changingEngines() {
        return mChangingEngines;
    }

    /** Renews or requests the lease, and advances or starts role changes. */
    private void tick() {
        Optional<RoutingConfiguration> configuration = mConfiguration.current();
        if (configuration.isEmpty() || !mDirectory.isLoaded()) {
            return;
        }
        mLease.tick(mPeers.hasRoleHolder(), mEligible.getAsBoolean(), mAbleToOrder.getAsBoolean());
        mHoldsLease = mLease.isHeld();
        if (mLease.mayOrder()) {
            configuration
                    .get()
                    .services()
                    .forEach(
                            (name, service) ->
                                    service.engine().ifPresent(engine -> control(name, engine)));
        } else {
            mServices.forEach(this::observe);
        }
        setChangingEngines(
                mServices.values().stream()
                        .flatMap(service -> service.mChanges.stream())
                        .filter(change -> change.mOrdersBefore >= 0)
                        .map(change -> change.mEngine.incarnation())
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Observes changes that this router ordered before it lost the lease. The engines continue with
     * them and refuse runs, so they are reported to the other routers until the changes are
     * finished; no orders are given.
     */
    private void observe(String service, ServiceRoles roles) {
        if (!roles.mChanges.isEmpty()) {
            List<UpstreamEntry> engines = mDirectory.usable(service);
            roles.mChanges.forEach(change -> finishIfOver(roles, change, engines));
            removeFinished(roles);
        }
    }

    /**
     * Sets the action to run when the set of changing engines changes.
     *
     * @param action the action, run on the control thread
     */
    public void onChangingEngines(Runnable action) {
        mNode.control().execute(() -> mOnChangingEngines = action);
    }

    private void setChangingEngines(Set<UpstreamIncarnation> changing) {
        if (!changing.equals(mChangingEngines)) {
            mChangingEngines = changing;
            mOnChangingEngines.run();
        }
    }

    /** Advances the changes of a service, or checks whether one is due. */
    private void control(String service, EngineTraits traits) {
        ServiceRoles roles = mServices.computeIfAbsent(service, name -> new ServiceRoles());
        List<UpstreamEntry> engines = mDirectory.usable(service);
        if (!roles.mChanges.isEmpty()) {
            roles.mChanges.forEach(change -> advance(roles, change, engines));
            removeFinished(roles);
            return;
        }
        long now = mNode.millis();
        boolean mayStart = now >= roles.mNotBefore && !roles.mVerifyingIdle;
        VersionCoverage coverage = new VersionCoverage(engines);
        Optional<SoftwareVersion> uncovered = coverage.uncoveredVersion();
        if (uncovered.isPresent() && mayStart) {
            LOGGER.info(
                    "role change wanted service={} since no engine decodes for version={}",
                    service,
                    uncovered.get());
            verifyIdle(
                    roles,
                    engines,
                    new ChangeSelection(
                            UpstreamEntry.Role.DECODE,
                            1,
                            engine -> engine.version().equals(uncovered.get())),
                    traits);
            return;
        }
        int prefill = (int) engines.stream().filter(RoleController::isPrefill).count();
        Demand demand = mOwnDemand.apply(service).plus(mPeers.demand(service));
        RoleChangePolicy.EnginePool enginePool =
                new RoleChangePolicy.EnginePool(
                        prefill,
                        engines.size() - prefill,
                        traits.memoryTokens(),
                        traits.switchMillis(),
                        decodingTokens(engines));
        RoleChangePolicy.Step step = roles.mPolicy.evaluate(now, enginePool, demand);
        if (step == RoleChangePolicy.Step.STAY || !mayStart) {
            return;
        }
        LOGGER.info(
                "role change wanted service={} step={} engines={} staffing={} {} demand={}",
                service,
                step,
                roles.mPolicy.engineCount(),
                enginePool,
                roles.mPolicy.lossSummary(),
                demand);
        ChangeSelection selection =
                step == RoleChangePolicy.Step.MORE_PREFILL
                        ? new ChangeSelection(
                                UpstreamEntry.Role.PREFILL,
                                roles.mPolicy.engineCount(),
                                coverage::isCoveredWithout)
                        : new ChangeSelection(
                                UpstreamEntry.Role.DECODE,
                                roles.mPolicy.engineCount(),
                                engine -> true);
        verifyIdle(roles, engines, selection, traits);
    }

    /** Returns the tokens that the other routers have in flight at decode engines. */
    private long decodingTokens(List<UpstreamEntry> engines) {
        return engines.stream()
                .filter(engine -> !isPrefill(engine))
                .mapToLong(engine -> mPeers.upstreamUsage(engine.incarnation()).tokens())
                .sum();
    }

    private static boolean isPrefill(UpstreamEntry engine) {
        return engine.role() == UpstreamEntry.Role.PREFILL;
    }

    /**
     * Requests the reports of all engines, so that no change is started while one is in progress
     * that an earlier holder of the lease ordered. An engine without a report does not count as
     * changing.
     */
    private void verifyIdle(
            ServiceRoles roles,
            List<UpstreamEntry> engines,
            ChangeSelection selection,
            EngineTraits traits) {
        roles.mVerifyingIdle = true;
        List<CompletableFuture<Boolean>> idle = engines.stream().map(this::isIdle).toList();
        Runnable decide =
                () -> {
                    roles.mVerifyingIdle = false;
                    if (idle.stream().allMatch(CompletableFuture::join)) {
                        startChanges(roles, engines, selection, traits);
                    }
                    removeFinished(roles);
                };
        CompletableFuture.allOf(idle.toArray(CompletableFuture[]::new))
                .thenRun(() -> mNode.control().execute(decide));
    }

    /** Returns whether an engine does not report that it is changing. */
    private CompletableFuture<Boolean> isIdle(UpstreamEntry engine) {
        return mClient.report(engine)
                .handle((report, failure) -> failure != null || !report.changing());
    }

    private void startChanges(
            ServiceRoles roles,
            List<UpstreamEntry> engines,
            ChangeSelection selection,
            EngineTraits traits) {
        long now = mNode.millis();
        long deadline = now + traits.switchMillis() + DRAIN_ALLOWANCE_MILLIS;
        selection
                .select(engines, each -> mPeers.upstreamUsage(each.incarnation()).tokens())
                .stream()
                .map(each -> new RoleChange(each, selection.role(), now, deadline))
                .forEach(roles.mChanges::add);
        roles.mChanges.forEach(this::requestReport);
    }

    /** Advances a change. */
    private void advance(ServiceRoles roles, RoleChange change, List<UpstreamEntry> engines) {
        finishIfOver(roles, change, engines);
        if (!change.mFinished && !change.mAccepted && !change.mCallPending) {
            requestReport(change);
        }
    }

    /**
     * Removes finished changes. If none is left, also after an attempt that started none, the
     * losses are reset and the load is observed for a while.
     */
    private void removeFinished(ServiceRoles roles) {
        roles.mChanges.removeIf(change -> change.mFinished);
        if (roles.mChanges.isEmpty()) {
            roles.mPolicy.reset();
            roles.mNotBefore = mNode.millis() + OBSERVATION_MILLIS;
        }
    }

    /** Finishes a change that is complete, whose engine is no longer listed, or that timed out. */
    private void finishIfOver(ServiceRoles roles, RoleChange change, List<UpstreamEntry> engines) {
        Optional<UpstreamEntry> listed =
                engines.stream()
                        .filter(each -> each.incarnation().equals(change.mEngine.incarnation()))
                        .findFirst();
        boolean done = listed.isPresent() && listed.get().role() == change.mRole;
        boolean over = done || listed.isEmpty() || mNode.millis() > change.mDeadline;
        if (over) {
            LOGGER.info(
                    "role change ended engine={} done={} listed={}",
                    change.mEngine.id(),
                    done,
                    listed.isPresent());
            if (done) {
                roles.mPolicy.recordChange(mNode.millis() - change.mStartedAt);
            }
            change.mFinished = true;
        }
    }

    /** Requests the engine's report, which an order must refer to. */
    private void requestReport(RoleChange change) {
        change.mCallPending = true;
        UpstreamEntry engine = change.mEngine;
        mClient.report(engine)
                .whenComplete(
                        (report, failure) ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    change.mCallPending = false;
                                                    if (!change.mFinished
                                                            && failure == null
                                                            && report.incarnation()
                                                                    .mayEqual(
                                                                            engine.incarnation())) {
                                                        onReport(change, report);
                                                    }
                                                }));
    }

    /** Orders the change, unless the engine is already changing. */
    private void onReport(RoleChange change, EngineRoleClient.EngineReport report) {
        boolean accepted = change.mOrdersBefore >= 0 && report.orders() > change.mOrdersBefore;
        if (accepted || report.changing() || report.role() == change.mRole) {
            change.mAccepted = true;
            return;
        }
        if (!mLease.mayOrder()) {
            return;
        }
        change.mOrdersBefore = report.orders();
        change.mCallPending = true;
        UpstreamEntry engine = change.mEngine;
        EngineRoleClient.LeaseGrant grant = mLease.grant();
        LOGGER.info(
                "order engine={} role={} token={} ordersBefore={}",
                engine.id(),
                change.mRole,
                grant.fencingToken(),
                report.orders());
        mClient.changeRole(engine, change.mRole, grant, report.orders())
                .thenAccept(
                        outcome ->
                                mNode.control()
                                        .execute(
                                                () -> {
                                                    change.mCallPending = false;
                                                    if (!change.mFinished) {
                                                        onOutcome(change, outcome);
                                                    }
                                                }));
    }

    /**
     * Records the outcome of an order. A refused change is finished, and removed at the next tick.
     */
    private void onOutcome(RoleChange change, EngineRoleClient.Outcome outcome) {
        LOGGER.info("order engine={} outcome={}", change.mEngine.id(), outcome);
        switch (outcome) {
            case TAKEN, ALREADY -> change.mAccepted = true;
            case REFUSED -> change.mFinished = true;
            default -> change.mAccepted = false;
        }
    }
}
