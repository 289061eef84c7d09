package org.troutpier.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.http.HttpClient;
import org.troutpier.common.http.HttpServer;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.http.ServerRefusals;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;
import org.troutpier.common.time.ElapsedClock;
import org.troutpier.daemon.admission.AdmissionController;
import org.troutpier.daemon.admission.CoordinatorPermits;
import org.troutpier.daemon.admission.DecodePermits;
import org.troutpier.daemon.caller.CallerHandler;
import org.troutpier.daemon.claim.ClaimStore;
import org.troutpier.daemon.configuration.ChangeProposer;
import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.instancelist.InstanceList;
import org.troutpier.daemon.node.ControlThread;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.objectstore.ObjectStore;
import org.troutpier.daemon.operator.CommandHandlerFactory;
import org.troutpier.daemon.operator.OperatorHandler;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerController;
import org.troutpier.daemon.peer.PeerMesh;
import org.troutpier.daemon.peer.PeerSecret;
import org.troutpier.daemon.placement.PairSelector;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;
import org.troutpier.daemon.request.ExchangeRegistry;
import org.troutpier.daemon.request.ExchangeServices;
import org.troutpier.daemon.request.RequestExchange;
import org.troutpier.daemon.request.RetryBudget;
import org.troutpier.daemon.settings.DaemonSettings;
import org.troutpier.daemon.table.Table;
import org.troutpier.daemon.upstream.CancellationRetrier;
import org.troutpier.daemon.upstream.EngineClient;
import org.troutpier.daemon.upstream.EngineLoadPoller;
import org.troutpier.daemon.upstream.HttpEngineClient;
import org.troutpier.daemon.upstream.OrphanSweeper;

/**
 * A router, assembled from its settings. Thread safe. Invariant: {@link #stop()} cuts no request in
 * progress unless the drain time runs out.
 */
public final class RouterDaemon {

    private static final Logger LOGGER = LogManager.getLogger(RouterDaemon.class);

    /** The number of events that are kept. */
    private static final int EVENT_RING_CAPACITY = 16_384;

    private static final long DRAIN_POLL_MILLIS = 20;

    /** How much of the drain time is left to write the last answers, milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 200;

    /**
     * How long a stop keeps the callers' server open, so that the load balancer and the peers
     * notice first.
     */
    private static final long NOTICE_MILLIS = 1500;

    private final DaemonSettings mSettings;

    private final Node mNode;

    private final Readiness mReadiness;

    private final ExchangeRegistry mRegistry = new ExchangeRegistry();

    private final AtomicBoolean mClosed = new AtomicBoolean();

    private final CancellationRetrier mCancellations;

    /** Confined to the control thread. */
    private final UpstreamRegistry mUpstreamRegistry = new UpstreamRegistry();

    private final Membership mMembership;

    /** Holds claims and the declarations. */
    private final Table mTable;

    private final ConfigurationRegistry mConfigurations;

    private final PeerController mPeers;

    private final PeerMesh mMesh;

    private final HttpServer mCallers;

    private final HttpServer mOperators;

    /**
     * Creates and starts a router.
     *
     * @param settings its settings
     */
    public RouterDaemon(DaemonSettings settings) {
        mSettings = settings;
        mNode = createNode(settings);
        mReadiness = new Readiness(mNode.events());
        mMembership = new Membership(createSelf(), mNode.nanos());
        mTable = createTable();
        mConfigurations = new ConfigurationRegistry(mNode, mTable, mReadiness);
        mPeers =
                new PeerController(
                        mNode, mMembership, mReadiness, createInstanceList(), mConfigurations);
        mMesh =
                new PeerMesh(
                        mNode,
                        settings.peer(),
                        new PeerMesh.Peers(mMembership, mMembership::live),
                        new PeerSecret(settings.peerSecret().value()),
                        Optional.empty(),
                        mPeers::onMessage);
        ControllerReference holder = new ControllerReference();
        Optional<CoordinatorPermits> coordinator = createCoordinatorPermits(holder);
        AdmissionController controller = createAdmissionController(coordinator);
        holder.mAdmissionController = controller;
        mConfigurations.addListener(controller::apply);
        EngineClient engines = new HttpEngineClient(mNode.calls());
        mCancellations = new CancellationRetrier(mNode, engines);
        ExchangeServices services =
                new ExchangeServices(
                        mNode,
                        controller,
                        createClaimStore(),
                        engines,
                        mCancellations,
                        new RetryBudget(),
                        mRegistry);
        ChangeProposer proposer =
                new ChangeProposer(mNode, mMembership, mConfigurations, mTable, mMesh::send);
        new EngineLoadPoller(mNode, mUpstreamRegistry, engines);
        new OrphanSweeper(
                mNode, mUpstreamRegistry, engines, mMembership, mCancellations, mRegistry);
        registerGauges(controller);
        mNode.control()
                .execute(() -> mPeers.start(mMesh, proposer, coordinator, this::onUpstreamLeaving));
        mCallers =
                new HttpServer(
                        settings.caller(),
                        mNode.loops(),
                        settings.callerLimits(),
                        ServerRefusals.AsJson.INSTANCE,
                        new CallerHandler(services, mConfigurations, mReadiness, mPeers));
        mOperators =
                new HttpServer(
                        settings.operator(),
                        mNode.loops(),
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        createOperatorHandler(proposer));
        LOGGER.info("started {} on {}", mNode.incarnation(), settings.caller());
    }

    /** Returns this router as a member. */
    private Membership.Member createSelf() {
        return new Membership.Member(
                mNode.incarnation(), mSettings.hall(), mSettings.peer().toString(), false);
    }

    private Table createTable() {
        DaemonSettings.PlatformSettings platform = mSettings.platform();
        return new Table.WithCircuitBreaker(
                new Table.OverHttp(mNode.calls(), platform.table(), platform.timeoutMillis()),
                mNode.nanos());
    }

    private InstanceList createInstanceList() {
        DaemonSettings.PlatformSettings platform = mSettings.platform();
        return new InstanceList.OverHttp(
                mNode.calls(), platform.instanceList(), platform.timeoutMillis());
    }

    /** Creates the store of claims. */
    private ClaimStore createClaimStore() {
        DaemonSettings.PlatformSettings platform = mSettings.platform();
        ObjectStore objects =
                new ObjectStore.OverHttp(
                        mNode.calls(), platform.objectStore(), platform.timeoutMillis());
        return new ClaimStore(
                mNode,
                mTable,
                objects,
                mMembership,
                mSettings.caller().url(""),
                System::currentTimeMillis);
    }

    /**
     * Creates the permits that coordinators grant, if the settings select them.
     *
     * @param holder holds the controller, which is created later
     * @return the permits, or empty
     */
    private Optional<CoordinatorPermits> createCoordinatorPermits(ControllerReference holder) {
        if (mSettings.admission().permits() != DaemonSettings.PermitRule.COORDINATOR) {
            return Optional.empty();
        }
        return Optional.of(
                new CoordinatorPermits(
                        mNode,
                        mMembership,
                        mUpstreamRegistry,
                        mMesh::send,
                        () -> holder.get().dispatchAll()));
    }

    private AdmissionController createAdmissionController(
            Optional<CoordinatorPermits> coordinator) {
        DecodePermits permits = coordinator.isPresent() ? coordinator.get() : createLocalPermits();
        return new AdmissionController(
                mNode,
                mUpstreamRegistry,
                permits,
                createSelector(mSettings),
                mSettings.admission().shed());
    }

    private OperatorHandler createOperatorHandler(ChangeProposer proposer) {
        return new OperatorHandler(
                mNode,
                mReadiness,
                mConfigurations,
                proposer,
                mMembership,
                mPeers,
                CommandHandlerFactory.create(
                        mNode, mRegistry, mUpstreamRegistry, mMembership, mConfigurations, mPeers),
                mSettings.administratorTokenHash());
    }

    /** Holds the controller for components that are created before it. Set once, before any use. */
    private static final class ControllerReference {

        private volatile AdmissionController mAdmissionController;

        AdmissionController get() {
            return mAdmissionController;
        }
    }

    private static Node createNode(DaemonSettings settings) {
        EventLoopGroup loops = new NioEventLoopGroup(settings.threads());
        return new Node(
                Incarnation.create(settings.instance()),
                settings.hall(),
                loops,
                new ControlThread(),
                new HttpClient(loops),
                new MetricRegistry(),
                new EventRing(settings.instance().value(), EVENT_RING_CAPACITY, new HybridClock()),
                new ElapsedClock());
    }

    /** Creates the permits that need no coordinator. */
    private DecodePermits createLocalPermits() {
        return switch (mSettings.admission().permits()) {
            case STATIC -> new DecodePermits.ForStaticDivision(() -> mMembership.serving().size());
            case LAGGING -> new DecodePermits.ForLaggingLoad();
            default -> DecodePermits.Unlimited.INSTANCE;
        };
    }

    private static PairSelector createSelector(DaemonSettings settings) {
        return switch (settings.admission().pair()) {
            case ROUND_ROBIN -> new PairSelector.ForRoundRobin();
            case LEAST_LOAD -> new PairSelector.ForLeastLoad();
            default -> new PairSelector.ForPredictedFirstToken(settings.hall());
        };
    }

    private void registerGauges(AdmissionController controller) {
        mNode.metrics().register("requests-carried", (Gauge<Integer>) () -> mRegistry.all().size());
        mNode.metrics().register("cancel.pending", (Gauge<Integer>) mCancellations::pendingCount);
        mNode.metrics().register("admission.waiting", (Gauge<Integer>) controller::waitingCount);
    }

    /**
     * Records that the instance list shows an upstream as leaving. A listing as not leaving changes
     * nothing.
     */
    private void onUpstreamLeaving(UpstreamId id, boolean leaving) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null && leaving) {
            state.setLeaving(true);
        }
    }

    /** Returns the address for callers. */
    public Address callerAddress() {
        return mCallers.address();
    }

    /** Returns the number of requests that are not over. */
    int requestsInProgress() {
        return mRegistry.all().size();
    }

    /** Returns the address for operators. */
    public Address operatorAddress() {
        return mOperators.address();
    }

    /**
     * Stops the router and waits for it: becomes unready, stops listening for callers after {@link
     * #NOTICE_MILLIS}, waits until no request is in progress or the drain time since the start of
     * the stop has passed, and closes everything else. Requests whose answer was not begun are
     * refused shortly before.
     */
    public void stop() {
        mReadiness.setStopping();
        LOGGER.info("stopping {}", mNode.incarnation());
        long start = System.nanoTime();
        await(start, NOTICE_MILLIS, false);
        mCallers.close();
        await(start, mSettings.drainMillis() - ANSWER_MARGIN_MILLIS, true);
        mRegistry.all().forEach(RequestExchange::refuseForStop);
        await(start, mSettings.drainMillis(), true);
        if (isBusy()) {
            LOGGER.warn(
                    "stop cuts off requests={} exchanges={} unread={} cancellations={}",
                    mRegistry.all().size(),
                    mCallers.activeExchanges(),
                    mCallers.sendingConnections(),
                    mCancellations.pendingCount());
        }
        close();
        LOGGER.info("stopped {}", mNode.incarnation());
    }

    /**
     * Sleeps until a time has passed.
     *
     * @param start the start of the time, by {@link System#nanoTime()}
     * @param millis the time, milliseconds
     * @param whileBusy whether to return early once nothing is in progress
     */
    private void await(long start, long millis, boolean whileBusy) {
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(millis)) {
            if (whileBusy && !isBusy()) {
                return;
            }
            try {
                Thread.sleep(DRAIN_POLL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Returns whether a request, the last bytes of an answer or a refusal, or a cancellation is in
     * progress.
     */
    private boolean isBusy() {
        return !mRegistry.all().isEmpty()
                || mCallers.activeExchanges() > 0
                || mCallers.sendingConnections() > 0
                || mCancellations.pendingCount() > 0;
    }

    /** Closes everything at once; further calls do nothing. */
    public void close() {
        if (mClosed.getAndSet(true)) {
            return;
        }
        mCallers.close();
        mOperators.close();
        mMesh.close();
        mNode.control().close();
        mNode.calls().close();
        mNode.loops().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
