package org.troutpier.daemon.cluster;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.PartnerId;
import org.troutpier.daemon.limit.Arrivals;
import org.troutpier.daemon.limit.RecentUsage;
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.organisation.PeerUsage;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.RoutingConfiguration;
import org.troutpier.daemon.route.UsageLimit;
import org.troutpier.daemon.waiting.WaitingReport;

/**
 * Simulates routers that enforce usage limits, in virtual time: the real limiter at each router,
 * delayed views of each other, and routers that are partitioned, killed, frozen or started. A run
 * is determined by its seed.
 */
final class LimitSimulation {

    /** The tolerance of the users' limits. */
    static final UsageSettings SETTINGS = new UsageSettings(8, 0.1, 120_000);

    private static final long STEP_MILLIS = 50;
    private static final HallId HALL = new HallId("hall");
    private static final int WINDOW_STEPS = (int) (SETTINGS.windowMillis() / STEP_MILLIS);

    /** How routers enforce a limit. */
    enum Strategy {
        /** Each router reports its usage, and decides by the total. */
        TOLD,
        /** Each router has a fixed share. */
        FIXED_PART,
        /** One router grants shares to the others on demand. */
        GRANTS
    }

    private final Random mRandom;
    private final Strategy mStrategy;
    private final int mRouterCount;
    private final long mViewDelayMillis;
    private final List<Router> mRouters = new ArrayList<>();
    private final Map<Integer, Partition> mPartitions = new HashMap<>();
    private final List<Workload> mWorkloads = new ArrayList<>();
    private long mNow = 100_000;
    private long mVersion = 1;

    /** An organisation, the requests that it sends, and their outcome. */
    static final class Workload {
        Organisation mOrganisation;
        final double mMeanCost;
        double mOfferedPerSecond;
        final Deque<Double> mAdmittedSteps = new ArrayDeque<>();
        double mWindowCost;
        double mMaxBoundRatio;
        long mRequests;
        long mRefused;
        double mAdmittedCost;

        /** When a lowered limit takes effect, milliseconds, and the bound until then. */
        long mBindsAtMillis;

        double mPreviousBound;

        Workload(String name, double perSecond, double meanCost, double offeredFraction) {
            mOrganisation = createOrganisation(name, perSecond);
            mMeanCost = meanCost;
            mOfferedPerSecond = perSecond * offeredFraction;
        }

        static Organisation createOrganisation(String name, double perSecond) {
            return new Organisation(
                    new PartnerId(name),
                    Set.of(),
                    OptionalInt.empty(),
                    new UsageLimit(UsageLimit.Unit.TOKENS, 0, perSecond, perSecond));
        }

        double bound() {
            double limit = mOrganisation.limit().allowance(SETTINGS.windowSeconds());
            return limit + SETTINGS.tolerance(limit);
        }
    }

    /** Routers that are connected to each other, and their reports. */
    private static final class Partition {
        final PeerLoads mLoads = new PeerLoads(SETTINGS);
        final Map<Incarnation, UsageReport> mUsage = new HashMap<>();
        final Deque<DelayedReport> mInFlight = new ArrayDeque<>();

        /** The shares granted, by organisation, as pairs of time and cost. */
        final Map<PartnerId, Deque<double[]>> mGrants = new HashMap<>();

        long mFormedMillis;
    }

    /** A report that arrives later. */
    private record DelayedReport(long arrivalMillis, Incarnation from, UsageReport usage) {}

    /** A router. */
    private final class Router implements PeerUsage {
        final int mNumber;
        int mStarts;
        int mPartition;
        boolean mDown;
        long mDownUntil;
        long mFrozenUntil;
        OrganisationLimiter mLimiter;
        final Map<PartnerId, Double> mGranted = new HashMap<>();
        UsageReport mPeerUsage = UsageReport.NONE;
        int mPeerCount;

        Router(int number) {
            mNumber = number;
            start();
        }

        Incarnation incarnation() {
            return new Incarnation("router-" + mNumber + "~" + mStarts);
        }

        void start() {
            mStarts++;
            mGranted.clear();
            mPeerUsage = UsageReport.NONE;
            mPeerCount = 0;
            mLimiter =
                    new OrganisationLimiter(
                            SETTINGS,
                            () -> mNow,
                            mRandom,
                            this,
                            () -> mRouterCount,
                            new MetricRegistry());
            mLimiter.applyConfiguration(configuration());
        }

        boolean isRunning() {
            return !mDown && mNow >= mFrozenUntil;
        }

        @Override
        public UsageReport organisations() {
            return mPeerUsage;
        }

        @Override
        public int peerCount() {
            return mPeerCount;
        }
    }

    LimitSimulation(long seed, Strategy strategy, int routerCount, long viewDelayMillis) {
        mRandom = new Random(seed);
        mStrategy = strategy;
        mRouterCount = routerCount;
        mViewDelayMillis = viewDelayMillis;
        mPartitions.put(0, new Partition());
    }

    Workload addWorkload(String name, double perSecond, double meanCost, double offeredFraction) {
        Workload workload = new Workload(name, perSecond, meanCost, offeredFraction);
        mWorkloads.add(workload);
        return workload;
    }

    void startRouters() {
        for (int number = 0; number < mRouterCount; number++) {
            mRouters.add(new Router(number));
        }
        mNow += SETTINGS.windowMillis() + 1000;
    }

    private RoutingConfiguration configuration() {
        return new RoutingConfiguration(
                mVersion,
                List.of(),
                List.of(),
                mWorkloads.stream().map(each -> each.mOrganisation).toList(),
                ServerLimits.DEFAULT,
                new byte[0]);
    }

    /** Changes a limit; a lowered one takes effect one window after all routers have it. */
    void changeLimit(Workload workload, double perSecond) {
        workload.mPreviousBound = workload.bound();
        workload.mBindsAtMillis = mNow + SETTINGS.windowMillis() + 1;
        workload.mOrganisation =
                Workload.createOrganisation(workload.mOrganisation.id().value(), perSecond);
        mVersion++;
        mRouters.forEach(router -> router.mLimiter.applyConfiguration(configuration()));
    }

    /** Kills a share of the routers; they restart after a time without their state. */
    void kill(double share, long millis) {
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                router.mDownUntil = mNow + millis;
                router.mDown = true;
            }
        }
        if (share >= 1) {
            mPartitions.clear();
            mPartitions.put(0, new Partition());
            mPartitions.get(0).mFormedMillis = mNow + millis;
        }
    }

    /** Freezes a share of the routers for a time. */
    void freeze(double share, long millis) {
        mRouters.forEach(
                router -> {
                    if (mRandom.nextDouble() < share) {
                        router.mFrozenUntil = mNow + millis;
                    }
                });
    }

    /** Disconnects a share of the routers: together as one partition, or each from all others. */
    void partition(double share, boolean together) {
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                router.mPartition = together ? 1 : 2 + router.mNumber;
                mPartitions.computeIfAbsent(router.mPartition, group -> new Partition())
                                .mFormedMillis =
                        mNow;
            }
        }
    }

    void heal() {
        mRouters.forEach(router -> router.mPartition = 0);
    }

    void advance(double seconds) {
        long steps = Math.round(seconds * 1000 / STEP_MILLIS);
        for (long step = 0; step < steps; step++) {
            mNow += STEP_MILLIS;
            exchangeReports();
            mWorkloads.forEach(this::offerRequests);
        }
    }

    /** Sends the routers' reports, and delivers those whose delay has passed. */
    private void exchangeReports() {
        for (Router router : mRouters) {
            if (router.mDown && mNow >= router.mDownUntil) {
                router.mDown = false;
                router.start();
            }
            if (router.isRunning()) {
                mPartitions
                        .get(router.mPartition)
                        .mInFlight
                        .add(
                                new DelayedReport(
                                        mNow + mViewDelayMillis,
                                        router.incarnation(),
                                        router.mLimiter.report()));
            }
        }
        mPartitions.values().forEach(this::deliver);
        Map<Integer, UsageReport> totals = new HashMap<>();
        mPartitions.forEach(
                (number, partition) -> {
                    partition.mLoads.aggregate(mNow);
                    totals.put(number, partition.mLoads.organisations());
                });
        for (Router router : mRouters) {
            if (router.isRunning()) {
                updateView(
                        router, mPartitions.get(router.mPartition), totals.get(router.mPartition));
            }
        }
    }

    private void deliver(Partition partition) {
        while (!partition.mInFlight.isEmpty()
                && partition.mInFlight.peek().arrivalMillis() <= mNow) {
            DelayedReport delayed = partition.mInFlight.poll();
            LoadReport report =
                    new LoadReport(
                            1,
                            1,
                            false,
                            0,
                            Set.of(),
                            Set.of(),
                            Map.of(),
                            Map.of(),
                            delayed.usage(),
                            Map.of(),
                            WaitingReport.NONE,
                            Map.of());
            partition.mLoads.update(delayed.from(), HALL, ReportScope.OWN, report, mNow);
            partition.mUsage.put(delayed.from(), delayed.usage());
        }
    }

    /** Sets a router's view to the total of its partition without itself. */
    private void updateView(Router router, Partition partition, UsageReport total) {
        boolean known = partition.mUsage.containsKey(router.incarnation());
        router.mPeerCount = Math.max(0, partition.mLoads.peerCount() - (known ? 1 : 0));
        if (!known) {
            router.mPeerUsage = total;
            return;
        }
        router.mPeerUsage = minus(total, partition.mUsage.get(router.incarnation()));
    }

    private static UsageReport minus(UsageReport total, UsageReport own) {
        Map<PartnerId, RecentUsage> difference = new HashMap<>(total.used());
        own.used()
                .forEach(
                        (id, used) ->
                                difference.merge(
                                        id,
                                        new RecentUsage(
                                                -used.window(), -used.pace(), -used.asked()),
                                        RecentUsage::plus));
        return new UsageReport(Math.max(0, total.forgotten() - own.forgotten()), difference);
    }

    /** Sends an organisation's requests, and checks what was admitted against the bound. */
    private void offerRequests(Workload workload) {
        double mean = workload.mOfferedPerSecond * STEP_MILLIS / 1000.0 / workload.mMeanCost;
        double admittedCost = 0;
        for (int remaining = Arrivals.poisson(mRandom, mean); remaining > 0; remaining--) {
            Router router =
                    mRouters.get((int) (mRouterCount * Math.pow(mRandom.nextDouble(), 1.5)));
            if (!router.isRunning()) {
                continue;
            }
            double cost = Math.round(workload.mMeanCost * (0.3 + 1.4 * mRandom.nextDouble()));
            workload.mRequests++;
            if (admit(router, workload, cost)) {
                admittedCost += cost;
            } else {
                workload.mRefused++;
            }
        }
        workload.mAdmittedSteps.add(admittedCost);
        workload.mAdmittedCost += admittedCost;
        workload.mWindowCost += admittedCost;
        if (workload.mAdmittedSteps.size() > WINDOW_STEPS) {
            workload.mWindowCost -= workload.mAdmittedSteps.poll();
        }
        double bound =
                mNow < workload.mBindsAtMillis
                        ? Math.max(workload.mPreviousBound, workload.bound())
                        : workload.bound();
        workload.mMaxBoundRatio = Math.max(workload.mMaxBoundRatio, workload.mWindowCost / bound);
    }

    private boolean admit(Router router, Workload workload, double cost) {
        if (mStrategy == Strategy.GRANTS) {
            return admitByGrant(router, workload, cost);
        }
        if (mStrategy == Strategy.FIXED_PART) {
            router.mPeerUsage = UsageReport.NONE;
            router.mPeerCount = 0;
        }
        Optional<OrganisationLimiter.Refusal> refusal =
                router.mLimiter.admit(workload.mOrganisation, cost);
        return refusal.isEmpty();
    }

    /**
     * Requests a share from the granting router of the partition. The grants in the window must fit
     * into the part of the limit that corresponds to the partition's share of the routers. In the
     * first window after the partition formed, that part grows evenly from 0.
     */
    private boolean admitByGrant(Router router, Workload workload, double cost) {
        Partition partition = mPartitions.get(router.mPartition);
        Deque<double[]> grants =
                partition.mGrants.computeIfAbsent(
                        workload.mOrganisation.id(), id -> new ArrayDeque<>());
        while (!grants.isEmpty() && grants.peek()[0] <= mNow - SETTINGS.windowMillis()) {
            grants.poll();
        }
        double sum = grants.stream().mapToDouble(each -> each[1]).sum();
        double limit = workload.mOrganisation.limit().allowance(SETTINGS.windowSeconds());
        double age =
                Math.max(
                        0,
                        Math.min(
                                1,
                                (mNow - partition.mFormedMillis)
                                        / (double) SETTINGS.windowMillis()));
        long members =
                mRouters.stream().filter(each -> each.mPartition == router.mPartition).count();
        double allowed = limit * age * members / mRouterCount;
        if (sum + cost > allowed) {
            return false;
        }
        grants.add(new double[] {mNow, cost});
        return true;
    }
}
