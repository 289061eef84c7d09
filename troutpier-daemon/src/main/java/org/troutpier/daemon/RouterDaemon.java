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
import org.troutpier.daemon.caller.CallerFront;
import org.troutpier.daemon.claim.ClaimStore;
import org.troutpier.daemon.configuration.ChangeProposer;
import org.troutpier.daemon.configuration.ConfigurationRegistry;
import org.troutpier.daemon.instancelist.InstanceList;
import org.troutpier.daemon.node.ControlThread;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.objectstore.ObjectStore;
import org.troutpier.daemon.operator.OperatorFront;
import org.troutpier.daemon.operator.Operators;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.PeerController;
import org.troutpier.daemon.peer.PeerMesh;
import org.troutpier.daemon.placement.PairSelector;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;
import org.troutpier.daemon.request.ExchangeRegistry;
import org.troutpier.daemon.request.ExchangeServices;
import org.troutpier.daemon.request.RetryBudget;
import org.troutpier.daemon.settings.DaemonSettings;
import org.troutpier.daemon.table.Table;
import org.troutpier.daemon.upstream.CancellationRetrier;
import org.troutpier.daemon.upstream.Engines;
import org.troutpier.daemon.upstream.HttpEngines;
import org.troutpier.daemon.upstream.LoadWatcher;
import org.troutpier.daemon.upstream.OrphanSweeper;

/**
 * One router: its parts, put together from the settings. Thread safe. Invariant: after {@link
 * #stop()} no request in progress has been cut unless the time to wait for it ran out.
 */
public final class RouterDaemon {

    /** Logs starts and stops. */
    private static final Logger LOGGER = LogManager.getLogger(RouterDaemon.class);

    /** How many events are kept. */
    private static final int RING = 16_384;

    /** How often a stop looks whether requests are left, milliseconds. */
    private static final long DRAIN_TICK = 20;

    /** How long a stop keeps listening, so that the balancer and the peers notice, milliseconds. */
    private static final long NOTICE_MILLIS = 1500;

    /** The settings. */
    private final DaemonSettings mSettings;

    /** What every part shares. */
    private final Node mNode;

    /** Whether new work is taken. */
    private final Readiness mReadiness;

    /** The requests that are carried. */
    private final ExchangeRegistry mRegistry = new ExchangeRegistry();

    /** Whether everything was ended. */
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /** Cancels attempts. */
    private final CancellationRetrier mCancels;

    /** All upstreams; control thread only. */
    private final UpstreamRegistry mUpstreamRegistry = new UpstreamRegistry();

    /** Who the routers are. */
    private final Membership mMembership;

    /** Where hard facts are kept. */
    private final Table mTable;

    /** The declarations in force. */
    private final ConfigurationRegistry mConfigurations;

    /** What this router does about the others. */
    private final PeerController mPeers;

    /** The connections to the other routers. */
    private final PeerMesh mMesh;

    /** The callers' server. */
    private final HttpServer mCallers;

    /** The operators' server. */
    private final HttpServer mOperators;

    /**
     * Creates and starts a router.
     *
     * @param settings its settings
     */
    public RouterDaemon(DaemonSettings settings) {
        mSettings = settings;
        mNode = node(settings);
        mReadiness = new Readiness(mNode.events());
        mMembership = new Membership(self(), mNode.nanos());
        mTable = table();
        mConfigurations = new ConfigurationRegistry(mNode, mTable, mReadiness);
        mPeers =
                new PeerController(mNode, mMembership, mReadiness, instanceList(), mConfigurations);
        mMesh =
                new PeerMesh(
                        mNode,
                        settings.peer(),
                        new PeerMesh.Peers(mMembership, mMembership::live),
                        settings.peerSecret().value(),
                        mPeers::onMessage);
        ControllerReference holder = new ControllerReference();
        Optional<CoordinatorPermits> coordinator = coordinatorPermits(holder);
        AdmissionController controller = admissionController(coordinator);
        holder.mAdmissionController = controller;
        mConfigurations.listen(controller::apply);
        Engines engines = new HttpEngines(mNode.calls());
        mCancels = new CancellationRetrier(mNode, engines);
        ExchangeServices services =
                new ExchangeServices(
                        mNode,
                        controller,
                        claims(),
                        engines,
                        mCancels,
                        new RetryBudget(),
                        mRegistry);
        ChangeProposer proposer =
                new ChangeProposer(mNode, mMembership, mConfigurations, mTable, mMesh::send);
        new LoadWatcher(mNode, mUpstreamRegistry, engines);
        new OrphanSweeper(mNode, mUpstreamRegistry, engines, mMembership, mCancels, mRegistry);
        gauges(controller);
        mNode.control()
                .execute(() -> mPeers.start(mMesh, proposer, coordinator, this::upstreamLeaving));
        mCallers =
                new HttpServer(
                        settings.caller(),
                        mNode.loops(),
                        settings.callerLimits(),
                        ServerRefusals.AsJson.INSTANCE,
                        new CallerFront(services, mConfigurations, mReadiness, mPeers));
        mOperators =
                new HttpServer(
                        settings.operator(),
                        mNode.loops(),
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        operatorFront(proposer));
        LOGGER.info("started {} on {}", mNode.incarnation(), settings.caller());
    }

    /**
     * Makes this router as the others see it.
     *
     * @return the member
     */
    private Membership.Member self() {
        return new Membership.Member(
                mNode.incarnation(), mSettings.hall(), mSettings.peer().toString(), false);
    }

    /**
     * Makes the adapter to the table service.
     *
     * @return the table
     */
    private Table table() {
        DaemonSettings.PlatformSettings platform = mSettings.platform();
        return new Table.WithCircuitBreaker(
                new Table.OverHttp(mNode.calls(), platform.table(), platform.timeoutMillis()),
                mNode.nanos());
    }

    /**
     * Makes the adapter to the instance list.
     *
     * @return the list
     */
    private InstanceList instanceList() {
        DaemonSettings.PlatformSettings platform = mSettings.platform();
        return new InstanceList.OverHttp(
                mNode.calls(), platform.instanceList(), platform.timeoutMillis());
    }

    /**
     * Makes the configurations of claims.
     *
     * @return the configurations
     */
    private ClaimStore claims() {
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
     * Makes the permits that come from coordinators, if the settings ask for them.
     *
     * @param holder holds the controller, which is made later
     * @return the permits, or empty
     */
    private Optional<CoordinatorPermits> coordinatorPermits(ControllerReference holder) {
        if (mSettings.admission().permits() != DaemonSettings.PermitRule.COORDINATOR) {
            return Optional.empty();
        }
        return Optional.of(
                new CoordinatorPermits(
                        mNode,
                        mMembership,
                        mUpstreamRegistry,
                        mMesh::send,
                        () -> holder.get().pumpAll()));
    }

    /**
     * Makes the controller.
     *
     * @param coordinator the permits that come from coordinators, or empty
     * @return the controller
     */
    private AdmissionController admissionController(Optional<CoordinatorPermits> coordinator) {
        DecodePermits permits = coordinator.isPresent() ? coordinator.get() : permits();
        return new AdmissionController(
                mNode,
                mUpstreamRegistry,
                permits,
                selector(mSettings),
                mSettings.admission().shed());
    }

    /**
     * Makes the operators' handler.
     *
     * @param proposer carries changes through
     * @return the handler
     */
    private OperatorFront operatorFront(ChangeProposer proposer) {
        return new OperatorFront(
                mNode,
                mReadiness,
                mConfigurations,
                proposer,
                mMembership,
                mPeers,
                Operators.commands(
                        mNode, mRegistry, mUpstreamRegistry, mMembership, mConfigurations, mPeers),
                mSettings.administratorTokenHash());
    }

    /** Gives the controller to what is made before it. Set once, before any use. */
    private static final class ControllerReference {

        /** The controller. */
        private volatile AdmissionController mAdmissionController;

        /**
         * Returns the controller.
         *
         * @return the controller
         */
        AdmissionController get() {
            return mAdmissionController;
        }
    }

    /**
     * Makes what every part shares.
     *
     * @param settings the settings
     * @return the node
     */
    private static Node node(DaemonSettings settings) {
        EventLoopGroup loops = new NioEventLoopGroup(settings.threads());
        return new Node(
                Incarnation.create(settings.instance()),
                settings.hall(),
                loops,
                new ControlThread(),
                new HttpClient(loops),
                new MetricRegistry(),
                new EventRing(settings.instance().value(), RING, new HybridClock()),
                new ElapsedClock());
    }

    /**
     * Makes the permits that need no coordinator.
     *
     * @return the permits
     */
    private DecodePermits permits() {
        return switch (mSettings.admission().permits()) {
            case STATIC -> new DecodePermits.ForStaticDivision(() -> mMembership.serving().size());
            case LAGGING -> new DecodePermits.ForLaggingLoad();
            default -> DecodePermits.Unlimited.INSTANCE;
        };
    }

    /**
     * Makes the selector.
     *
     * @param settings the settings
     * @return the selector
     */
    private static PairSelector selector(DaemonSettings settings) {
        return switch (settings.admission().pair()) {
            case ROUND_ROBIN -> new PairSelector.ForRoundRobin();
            case LEAST_LOAD -> new PairSelector.ForLeastLoad();
            default -> new PairSelector.ForPredictedFirstToken(settings.hall());
        };
    }

    /**
     * Registers what is measured by looking.
     *
     * @param controller the controller
     */
    private void gauges(AdmissionController controller) {
        mNode.metrics().register("requests-carried", (Gauge<Integer>) () -> mRegistry.all().size());
        mNode.metrics().register("cancel.pending", (Gauge<Integer>) mCancels::pending);
        mNode.metrics().register("admission.waiting", (Gauge<Integer>) controller::waiting);
    }

    /**
     * Takes note that the instance list shows an upstream as leaving.
     *
     * @param id the upstream
     * @param leaving whether it is leaving
     */
    private void upstreamLeaving(UpstreamId id, boolean leaving) {
        UpstreamState state = mUpstreamRegistry.get(id);
        if (state != null && leaving) {
            state.leaving(true);
        }
    }

    /**
     * Returns where callers come in.
     *
     * @return the address
     */
    public Address callerAddress() {
        return mCallers.address();
    }

    /**
     * Returns where operators come in.
     *
     * @return the address
     */
    public Address operatorAddress() {
        return mOperators.address();
    }

    /**
     * Stops the router: no new work, then every request in progress to its end, then everything
     * else. Waits for it.
     */
    public void stop() {
        mReadiness.stopping();
        LOGGER.info("stopping {}", mNode.incarnation());
        long start = System.nanoTime();
        await(start, NOTICE_MILLIS, false);
        mCallers.close();
        await(start, mSettings.drainMillis(), true);
        close();
        LOGGER.info("stopped {}", mNode.incarnation());
    }

    /**
     * Waits.
     *
     * @param start since when, by {@link System#nanoTime()}
     * @param millis until how long after
     * @param whileBusy whether to stop waiting once no request is left
     */
    private void await(long start, long millis, boolean whileBusy) {
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(millis)) {
            if (whileBusy && !busy()) {
                return;
            }
            try {
                Thread.sleep(DRAIN_TICK);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Returns whether something is still in progress.
     *
     * @return whether a request, the last bytes of an answer, or a cancel is under way
     */
    private boolean busy() {
        boolean cancelling = mCancels.pending() > 0;
        return !mRegistry.all().isEmpty() || mCallers.activeExchanges() > 0 || cancelling;
    }

    /** Ends everything at once; a second call does nothing. */
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
