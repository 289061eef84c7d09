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

/**
 * Routers that keep the limits of organisations, in virtual time: the real count and decision at
 * each, views of each other that are late, and routers that are cut off, killed, frozen or started.
 * A single run is a function of its seed.
 */
final class LimitSimulation {

    /** How strictly limits are kept, as the users' page has it. */
    static final UsageSettings SETTINGS = new UsageSettings(8, 0.1, 120_000);

    private static final long STEP_MILLIS = 50;
    private static final HallId HALL = new HallId("hall");
    private static final int WINDOW_STEPS = (int) (SETTINGS.windowMillis() / STEP_MILLIS);

    /** How routers keep a limit. */
    enum Way {
        /** Each counts and tells, and the sum decides. */
        TOLD,
        /** Each has a fixed part. */
        FIXED_PART,
        /** A router that all know hands out parts on demand. */
        GRANTS
    }

    private final Random mRandom;
    private final Way mWay;
    private final int mRouters;
    private final long mLateMillis;
    private final List<Router> mAll = new ArrayList<>();
    private final Map<Integer, Group> mGroups = new HashMap<>();
    private final List<Asking> mAsking = new ArrayList<>();
    private long mNow = 100_000;
    private long mVersion = 1;

    /** An organisation, what it asks, and what became of it. */
    static final class Asking {
        Organisation mOrganisation;
        final double mMeanCost;
        double mAskedPerSecond;
        final Deque<Double> mRun = new ArrayDeque<>();
        double mWindow;
        double mMostOver;
        long mAsked;
        long mRefused;
        double mRunCost;

        /** By when a lowered limit binds, and what bound before. */
        long mBindsAt;

        double mBoundBefore;

        Asking(String name, double perSecond, double meanCost, double askedPart) {
            mOrganisation = named(name, perSecond);
            mMeanCost = meanCost;
            mAskedPerSecond = perSecond * askedPart;
        }

        static Organisation named(String name, double perSecond) {
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

    /** Routers that hear each other, and what they told. */
    private static final class Group {
        final PeerLoads mLoads = new PeerLoads(SETTINGS);
        final Map<Incarnation, UsageReport> mHeard = new HashMap<>();
        final Deque<Told> mOnTheWay = new ArrayDeque<>();

        /** What the routers that hand out parts have given, by organisation. */
        final Map<PartnerId, Deque<double[]>> mGiven = new HashMap<>();

        long mSince;
    }

    /** A report that arrives later. */
    private record Told(long at, Incarnation from, UsageReport use) {}

    /** One router. */
    private final class Router implements PeerUsage {
        final int mNumber;
        int mStart;
        int mGroup;
        boolean mDown;
        long mDownUntil;
        long mFrozenUntil;
        OrganisationLimiter mUse;
        final Map<PartnerId, Double> mGranted = new HashMap<>();
        UsageReport mElsewhere = UsageReport.NONE;
        int mHeard;

        Router(int number) {
            mNumber = number;
            start();
        }

        Incarnation incarnation() {
            return new Incarnation("router-" + mNumber + "~" + mStart);
        }

        void start() {
            mStart++;
            mGranted.clear();
            mElsewhere = UsageReport.NONE;
            mHeard = 0;
            mUse =
                    new OrganisationLimiter(
                            SETTINGS,
                            () -> mNow,
                            mRandom,
                            this,
                            () -> mRouters,
                            new MetricRegistry());
            mUse.applyConfiguration(configuration());
        }

        boolean works() {
            return !mDown && mNow >= mFrozenUntil;
        }

        @Override
        public UsageReport organisations() {
            return mElsewhere;
        }

        @Override
        public int peerCount() {
            return mHeard;
        }
    }

    LimitSimulation(long seed, Way way, int routers, long lateMillis) {
        mRandom = new Random(seed);
        mWay = way;
        mRouters = routers;
        mLateMillis = lateMillis;
        mGroups.put(0, new Group());
    }

    Asking organisation(String name, double perSecond, double meanCost, double askedPart) {
        Asking asking = new Asking(name, perSecond, meanCost, askedPart);
        mAsking.add(asking);
        return asking;
    }

    void begin() {
        for (int number = 0; number < mRouters; number++) {
            mAll.add(new Router(number));
        }
        mNow += SETTINGS.windowMillis() + 1000;
    }

    private RoutingConfiguration configuration() {
        return new RoutingConfiguration(
                mVersion,
                List.of(),
                List.of(),
                mAsking.stream().map(each -> each.mOrganisation).toList(),
                ServerLimits.DEFAULT,
                new byte[0]);
    }

    /** Changes a limit; a lower one binds a window after all routers have it. */
    void limit(Asking asking, double perSecond) {
        asking.mBoundBefore = asking.bound();
        asking.mBindsAt = mNow + SETTINGS.windowMillis() + 1;
        asking.mOrganisation = Asking.named(asking.mOrganisation.id().value(), perSecond);
        mVersion++;
        mAll.forEach(router -> router.mUse.applyConfiguration(configuration()));
    }

    /** Kills some routers; they start again after a while and know nothing. */
    void kill(double share, long millis) {
        for (Router router : mAll) {
            if (mRandom.nextDouble() < share) {
                router.mDownUntil = mNow + millis;
                router.mDown = true;
            }
        }
        if (share >= 1) {
            mGroups.clear();
            mGroups.put(0, new Group());
            mGroups.get(0).mSince = mNow + millis;
        }
    }

    /** Freezes some routers. */
    void freeze(double share, long millis) {
        mAll.forEach(
                router -> {
                    if (mRandom.nextDouble() < share) {
                        router.mFrozenUntil = mNow + millis;
                    }
                });
    }

    /** Cuts some routers off: together in one group, or each from all others. */
    void cut(double share, boolean together) {
        for (Router router : mAll) {
            if (mRandom.nextDouble() < share) {
                router.mGroup = together ? 1 : 2 + router.mNumber;
                mGroups.computeIfAbsent(router.mGroup, group -> new Group()).mSince = mNow;
            }
        }
    }

    void heal() {
        mAll.forEach(router -> router.mGroup = 0);
    }

    void pass(double seconds) {
        long steps = Math.round(seconds * 1000 / STEP_MILLIS);
        for (long step = 0; step < steps; step++) {
            mNow += STEP_MILLIS;
            tell();
            mAsking.forEach(this::ask);
        }
    }

    /** Has all tell, and hear what was told a while ago. */
    private void tell() {
        for (Router router : mAll) {
            if (router.mDown && mNow >= router.mDownUntil) {
                router.mDown = false;
                router.start();
            }
            if (router.works()) {
                mGroups.get(router.mGroup)
                        .mOnTheWay
                        .add(
                                new Told(
                                        mNow + mLateMillis,
                                        router.incarnation(),
                                        router.mUse.report()));
            }
        }
        mGroups.values().forEach(this::hear);
        Map<Integer, UsageReport> sums = new HashMap<>();
        mGroups.forEach(
                (number, group) -> {
                    group.mLoads.aggregate(mNow);
                    sums.put(number, group.mLoads.organisations());
                });
        for (Router router : mAll) {
            if (router.works()) {
                view(router, mGroups.get(router.mGroup), sums.get(router.mGroup));
            }
        }
    }

    private void hear(Group group) {
        while (!group.mOnTheWay.isEmpty() && group.mOnTheWay.peek().at() <= mNow) {
            Told told = group.mOnTheWay.poll();
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
                            told.use(),
                            Map.of());
            group.mLoads.update(told.from(), HALL, ReportScope.OWN, report, mNow);
            group.mHeard.put(told.from(), told.use());
        }
    }

    /** Shows a router the sum of its group without itself. */
    private void view(Router router, Group group, UsageReport sum) {
        boolean heard = group.mHeard.containsKey(router.incarnation());
        router.mHeard = Math.max(0, group.mLoads.peerCount() - (heard ? 1 : 0));
        if (!heard) {
            router.mElsewhere = sum;
            return;
        }
        router.mElsewhere = minus(sum, group.mHeard.get(router.incarnation()));
    }

    private static UsageReport minus(UsageReport sum, UsageReport own) {
        Map<PartnerId, RecentUsage> left = new HashMap<>(sum.used());
        own.used()
                .forEach(
                        (id, used) ->
                                left.merge(
                                        id,
                                        new RecentUsage(
                                                -used.window(), -used.pace(), -used.asked()),
                                        RecentUsage::plus));
        return new UsageReport(Math.max(0, sum.forgotten() - own.forgotten()), left);
    }

    /** Has an organisation's callers ask, and judges what upstreams ran. */
    private void ask(Asking asking) {
        double mean = asking.mAskedPerSecond * STEP_MILLIS / 1000.0 / asking.mMeanCost;
        double run = 0;
        for (int left = Arrivals.poisson(mRandom, mean); left > 0; left--) {
            Router router = mAll.get((int) (mRouters * Math.pow(mRandom.nextDouble(), 1.5)));
            if (!router.works()) {
                continue;
            }
            double cost = Math.round(asking.mMeanCost * (0.3 + 1.4 * mRandom.nextDouble()));
            asking.mAsked++;
            if (letIn(router, asking, cost)) {
                run += cost;
            } else {
                asking.mRefused++;
            }
        }
        asking.mRun.add(run);
        asking.mRunCost += run;
        asking.mWindow += run;
        if (asking.mRun.size() > WINDOW_STEPS) {
            asking.mWindow -= asking.mRun.poll();
        }
        double bound =
                mNow < asking.mBindsAt
                        ? Math.max(asking.mBoundBefore, asking.bound())
                        : asking.bound();
        asking.mMostOver = Math.max(asking.mMostOver, asking.mWindow / bound);
    }

    private boolean letIn(Router router, Asking asking, double cost) {
        if (mWay == Way.GRANTS) {
            return granted(router, asking, cost);
        }
        if (mWay == Way.FIXED_PART) {
            router.mElsewhere = UsageReport.NONE;
            router.mHeard = 0;
        }
        Optional<OrganisationLimiter.Refusal> refusal =
                router.mUse.admit(asking.mOrganisation, cost);
        return refusal.isEmpty();
    }

    /**
     * Asks the router that hands out parts of a limit: it gives what is needed while what it gave
     * in the window leaves room, and where it began anew, no more than the limit's even use.
     */
    private boolean granted(Router router, Asking asking, double cost) {
        Group group = mGroups.get(router.mGroup);
        Deque<double[]> given =
                group.mGiven.computeIfAbsent(asking.mOrganisation.id(), id -> new ArrayDeque<>());
        while (!given.isEmpty() && given.peek()[0] <= mNow - SETTINGS.windowMillis()) {
            given.poll();
        }
        double sum = given.stream().mapToDouble(each -> each[1]).sum();
        double limit = asking.mOrganisation.limit().allowance(SETTINGS.windowSeconds());
        double since =
                Math.max(0, Math.min(1, (mNow - group.mSince) / (double) SETTINGS.windowMillis()));
        long members = mAll.stream().filter(each -> each.mGroup == router.mGroup).count();
        double most = limit * since * members / mRouters;
        if (sum + cost > most) {
            return false;
        }
        given.add(new double[] {mNow, cost});
        return true;
    }
}
