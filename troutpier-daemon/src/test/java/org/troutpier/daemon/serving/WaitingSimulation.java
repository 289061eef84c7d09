package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.TestReports;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.MemoryAdmission;
import org.troutpier.daemon.limit.Arrivals;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.upstream.AttemptEnd;
import org.troutpier.daemon.waiting.Claim;
import org.troutpier.daemon.waiting.SharedOrder;
import org.troutpier.daemon.waiting.WaitingOrder;

/**
 * Simulates routers that search for engine memory, in virtual time: the real allocator at each
 * router, and reports that are delayed, lost, or cut off. A run is determined by its seed.
 */
final class WaitingSimulation {

    static final long MEMORY = 56_000;
    static final int SLOTS = 12;
    static final double MEAN_RUN_MILLIS = 4200;

    private static final String SERVICE = "model";
    private static final long TICK_MILLIS = 10;
    private static final long ENGINE_MILLIS = 2;
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private final ManualClock mClock = new ManualClock();
    private final Random mRandom;
    private final boolean mShared;
    private final List<Router> mRouters = new ArrayList<>();
    private final List<UpstreamEntry> mEngines = new ArrayList<>();
    private final Map<UpstreamIncarnation, Long> mUsedTokens = new HashMap<>();
    private final Map<UpstreamIncarnation, Integer> mUsedSlots = new HashMap<>();
    private final List<WaitingWorkload> mWorkloads = new ArrayList<>();
    private final Set<Request> mWaiting = new LinkedHashSet<>();

    long mMinDelayMillis = 5;
    long mMaxDelayMillis = 15;
    double mLoss;

    long mReports;
    long mWaitingBytes;
    long mLargestWaitingBytes;
    long mEntriesTold;

    /** Grants of a less urgent request while a more urgent one that fits had waited. */
    long mInversions;

    /** Those of them whose request had a fifth of a second left at most. */
    long mDueInversions;

    /**
     * Milliseconds in which requests waited, and engine milliseconds in which one of them fitted.
     */
    long mWaitedMillis;

    long mIdleMillis;

    /** The longest time for which an engine could have held a request that waited. */
    long mLongestIdleMillis;

    private double mUsedShareSum;

    /** A request that searches for memory. */
    private final class Request implements ReservationAllocator.Listener {
        final WaitingWorkload mWorkload;
        final Router mRouter;
        final long mTokens;
        final long mArrivedMillis = mClock.millis();
        final boolean mConnected;
        final boolean mLarge;

        /** For how long each engine could have held the request. */
        final Map<UpstreamEntry, Long> mLeftMillis = new HashMap<>();

        ReservationAllocator.Search mSearch;

        Request(WaitingWorkload workload, Router router) {
            mWorkload = workload;
            mRouter = router;
            mLarge = mRandom.nextInt(10) == 0;
            mTokens = mLarge ? 9000 + mRandom.nextInt(2000) : 3000 + mRandom.nextInt(6000);
            mWorkload.mRequests++;
            mConnected = !router.mCutOff;
            mWorkload.mConnectedRequests += mConnected ? 1 : 0;
            mWorkload.mLargeRequests += mLarge ? 1 : 0;
        }

        void search() {
            long wait = mWorkload.mWaitMillis;
            mWaiting.add(this);
            mSearch =
                    mRouter.mAllocator.search(
                            new ReservationAllocator.Requirements(
                                    SERVICE,
                                    new Claim(
                                            QueueTier.IN_TIME,
                                            mWorkload.mFlow,
                                            mArrivedMillis + wait,
                                            mTokens),
                                    mTokens,
                                    mTokens,
                                    new MemoryAdmission.ForMargin(0, MEMORY),
                                    2000,
                                    wait,
                                    () -> mEngines),
                            this);
        }

        @Override
        public void onGranted(
                UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
            mWaiting.remove(this);
            mWorkload.mGranted++;
            mWorkload.mConnectedGranted += mConnected ? 1 : 0;
            mWorkload.mLargeGranted += mLarge ? 1 : 0;
            mWorkload.mWaitedMillis += mClock.millis() - mArrivedMillis;
            for (Request other : mWaiting) {
                boolean overtaken =
                        other.mWorkload.mFlow.rank() < mWorkload.mFlow.rank()
                                && other.mTokens <= mTokens
                                && mClock.millis() - other.mArrivedMillis > 100;
                if (overtaken) {
                    long left = mWorkload.mWaitMillis - (mClock.millis() - mArrivedMillis);
                    mInversions++;
                    mDueInversions += left <= 200 ? 1 : 0;
                    break;
                }
            }
            Router router = mRouter;
            int start = router.mStart;
            long millis = (long) (MEAN_RUN_MILLIS * (0.6 + 0.8 * mRandom.nextDouble()));
            mClock.loop()
                    .schedule(
                            () -> {
                                free(engine, mTokens);
                                if (router.mStart == start) {
                                    router.mLoads.end(engine, mTokens);
                                }
                            },
                            millis);
        }

        @Override
        public void onRefused(String detail) {
            mWaiting.remove(this);
        }
    }

    /** A router. */
    private final class Router {
        final int mNumber;
        int mStart;
        boolean mCutOff;
        PeerLoads mPeers;
        UpstreamLoads mLoads;
        ReservationAllocator mAllocator;
        long mAggregatedMillis;
        long mReportedMillis;
        boolean mReportScheduled;
        boolean mReportedWaiting;

        Router(int number) {
            mNumber = number;
            start();
        }

        void start() {
            mStart++;
            mPeers = new PeerLoads();
            TestContext context = new TestContext(mClock);
            context.mPort = new Port();
            context.mPeers = mPeers;
            context.mRandom = mRandom;
            context.mView = this::whenFresh;
            context.mOrder =
                    mShared
                            ? new SharedOrder(
                                    mPeers::waiting, name -> MEAN_RUN_MILLIS, new MetricRegistry())
                            : WaitingOrder.ALONE;
            ServingContext serving = context.build();
            mLoads = serving.loads();
            mAllocator = serving.reservations();
            mLoads.onUrgentChange(this::report);
            mLoads.onChange(this::scheduleReport);
            mAllocator.onWaiting(this::onWaiting);
        }

        private void whenFresh(Runnable decision) {
            if (mClock.millis() - mAggregatedMillis > 20) {
                mAggregatedMillis = mClock.millis();
                mPeers.aggregate(mClock.millis());
            }
            decision.run();
        }

        private void onWaiting() {
            if (!mReportedWaiting || mClock.millis() - mReportedMillis >= 140) {
                scheduleReport();
            }
        }

        private void scheduleReport() {
            if (!mReportScheduled) {
                mReportScheduled = true;
                long due = Math.max(0, mReportedMillis + 50 - mClock.millis());
                mClock.loop().schedule(this::report, due);
            }
        }

        void report() {
            mReportScheduled = false;
            mReportedMillis = mClock.millis();
            LoadReport report = TestReports.of(mLoads.usage(), mAllocator.waitingReport());
            mReportedWaiting = !report.waiting().entries().isEmpty();
            countBytes(report);
            Incarnation self = new Incarnation("router-" + mNumber + "~" + mStart);
            for (Router other : mRouters) {
                boolean heard = other != this && !mCutOff && !other.mCutOff;
                if (heard && mRandom.nextDouble() >= mLoss) {
                    long delay =
                            mMinDelayMillis
                                    + mRandom.nextLong(mMaxDelayMillis - mMinDelayMillis + 1);
                    mClock.loop().schedule(() -> other.receive(self, report), delay);
                }
            }
        }

        private void receive(Incarnation from, LoadReport report) {
            mPeers.update(from, TestUpstreams.HALL, ReportScope.OWN, report, mClock.millis());
        }
    }

    /** Engines that keep reservations. */
    private final class Port implements UpstreamPort {

        @Override
        public Call reserve(
                UpstreamEntry engine,
                long tokens,
                int millis,
                ResultListener<Reservation> listener) {
            mClock.loop().schedule(() -> answer(engine, tokens, listener), ENGINE_MILLIS);
            return null;
        }

        private void answer(
                UpstreamEntry engine, long tokens, ResultListener<Reservation> listener) {
            if (!fits(engine, tokens)) {
                listener.onFailure(AttemptEnd.refused(false, "full"));
                return;
            }
            mUsedTokens.merge(engine.incarnation(), tokens, Long::sum);
            mUsedSlots.merge(engine.incarnation(), 1, Integer::sum);
            listener.onResult(new Reservation(tokens + ""));
        }

        @Override
        public Call run(
                UpstreamEntry upstream,
                ServingRequest request,
                RunPlan plan,
                RunListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Call prefill(
                UpstreamEntry upstream,
                ServingRequest request,
                RunPlan plan,
                ResultListener<StoredPrompt> listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void release(UpstreamEntry engine, Reservation reservation) {
            free(engine, Long.parseLong(reservation.token()));
        }

        @Override
        public void discard(StoredPrompt prompt) {}

        @Override
        public void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener) {}
    }

    WaitingSimulation(long seed, boolean shared, int routers, int engines) {
        mRandom = new Random(seed);
        mShared = shared;
        for (int number = 0; number < engines; number++) {
            mEngines.add(TestUpstreams.decode("engine-" + number));
        }
        for (int number = 0; number < routers; number++) {
            mRouters.add(new Router(number));
        }
        tick();
        for (Router router : mRouters) {
            mClock.loop().schedule(() -> reportPeriodically(router), mRandom.nextInt(500));
        }
        mClock.advance(600);
    }

    private void reportPeriodically(Router router) {
        router.report();
        mClock.loop().schedule(() -> reportPeriodically(router), 500);
    }

    WaitingWorkload add(String organisation, int rank, long waitMillis, double perSecond) {
        WaitingWorkload workload = new WaitingWorkload(organisation, rank, waitMillis, perSecond);
        mWorkloads.add(workload);
        return workload;
    }

    void advance(double seconds) {
        mClock.advance((long) (seconds * 1000));
    }

    /** Cuts a share of the routers off from all others, or reconnects them. */
    void cutOff(double share) {
        for (Router router : mRouters) {
            router.mCutOff = mRandom.nextDouble() < share;
        }
    }

    /** Restarts a share of the routers: what waits there ends, and what they knew is lost. */
    void restart(double share) {
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                for (Request request : List.copyOf(mWaiting)) {
                    if (request.mRouter == router) {
                        request.mSearch.cancel();
                        mWaiting.remove(request);
                    }
                }
                router.start();
            }
        }
    }

    private void tick() {
        for (WaitingWorkload workload : mWorkloads) {
            double mean = workload.mPerSecond * TICK_MILLIS / 1000.0;
            for (int count = Arrivals.poisson(mRandom, mean); count > 0; count--) {
                Router router = mRouters.get(mRandom.nextInt(mRouters.size()));
                Request request = new Request(workload, router);
                router.whenFresh(request::search);
            }
        }
        measureIdleMemory();
        mClock.loop().schedule(this::tick, TICK_MILLIS);
    }

    private void measureIdleMemory() {
        long used = 0;
        for (UpstreamEntry engine : mEngines) {
            used += mUsedTokens.getOrDefault(engine.incarnation(), 0L);
            boolean idle = false;
            for (Request request : mWaiting) {
                boolean fits = fits(engine, request.mTokens);
                long millis = fits ? request.mLeftMillis.getOrDefault(engine, 0L) + TICK_MILLIS : 0;
                request.mLeftMillis.put(engine, millis);
                mLongestIdleMillis = Math.max(mLongestIdleMillis, millis);
                idle |= fits;
            }
            mIdleMillis += idle ? TICK_MILLIS : 0;
        }
        if (!mWaiting.isEmpty()) {
            mWaitedMillis += TICK_MILLIS;
            mUsedShareSum += used / (double) (MEMORY * mEngines.size());
        }
    }

    /** Returns the part of the memory that is in use on average while requests wait. */
    double usedShare() {
        return mUsedShareSum * TICK_MILLIS / Math.max(1, mWaitedMillis);
    }

    private boolean fits(UpstreamEntry engine, long tokens) {
        long used = mUsedTokens.getOrDefault(engine.incarnation(), 0L);
        int slots = mUsedSlots.getOrDefault(engine.incarnation(), 0);
        return used + tokens <= MEMORY && slots < Math.min(SLOTS, engine.slots());
    }

    private void free(UpstreamEntry engine, long tokens) {
        mUsedTokens.merge(engine.incarnation(), -tokens, Long::sum);
        mUsedSlots.merge(engine.incarnation(), -1, Integer::sum);
    }

    private void countBytes(LoadReport report) {
        try {
            int bytes = MAPPER.writeValueAsBytes(report.waiting()).length;
            mReports++;
            mEntriesTold += report.waiting().entries().size();
            mWaitingBytes += bytes;
            mLargestWaitingBytes = Math.max(mLargestWaitingBytes, bytes);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }

    double seconds() {
        return (mClock.millis() - 1600) / 1000.0;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d routers %s: %d inversions, %d due; %.3f used while requests waited for %d ms, "
                        + "idle %.1f engines, longest %d ms; "
                        + "%.1f reports and %.0f bytes of waiting requests a second and router, "
                        + "largest %d; %s",
                mRouters.size(),
                mShared ? "shared" : "alone",
                mInversions,
                mDueInversions,
                usedShare(),
                mWaitedMillis,
                mIdleMillis / (double) Math.max(1, mWaitedMillis),
                mLongestIdleMillis,
                mReports / seconds() / mRouters.size(),
                mWaitingBytes / seconds() / mRouters.size(),
                mLargestWaitingBytes,
                mWorkloads);
    }
}
