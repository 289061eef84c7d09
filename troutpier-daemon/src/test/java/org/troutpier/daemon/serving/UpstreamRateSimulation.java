package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.Arrivals;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.limit.PeerRates;
import org.troutpier.daemon.limit.RateReport;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.notice.AnnouncedRate;

/**
 * Simulates routers and upstreams that announce rates, in virtual time. Each router makes the real
 * decisions on delayed reports of the others, and may be partitioned, restarted or frozen. A run is
 * determined by its seed.
 */
final class UpstreamRateSimulation {

    /** How routers keep to a rate. */
    enum Strategy {
        /** Each router reports what it sends, and the sum decides. */
        REPORTED,
        /** Each router has a fixed share. */
        FIXED_PART
    }

    static final int WINDOW_MILLIS = 4000;

    /** Time after which a rate is binding, milliseconds; the users' {@code contact_ms}. */
    static final int BINDING_MILLIS = 3000;

    /** Time after which routers have propagated a rate, milliseconds; required by the users. */
    private static final int PROPAGATION_MILLIS = 500;

    private static final int STEP_MILLIS = 10;
    private static final int REPORT_MILLIS = 50;
    private static final int WORK_MILLIS = 90;
    private static final int REPORT_TTL_MILLIS = 1500;

    private final Random mRandom;
    private final Strategy mStrategy;
    private final int mDelayMillis;
    private final ManualClock mTime = new ManualClock();
    private final List<Router> mRouters = new ArrayList<>();
    private final List<Upstream> mUpstreams = new ArrayList<>();
    private final Deque<Call> mCalls = new ArrayDeque<>();
    private int mGroups = 1;

    /** Fraction of the requests that are urgent. */
    double mUrgentFraction;

    /**
     * Requests that callers made, and those of them that were sent on: urgent ones, then others.
     */
    final long[] mAsked = new long[2];

    final long[] mServed = new long[2];

    /** The upstream that a test examines. */
    Upstream mObserved;

    /** A call in flight. */
    private record Call(Router router, Upstream upstream, long sentAt) {}

    /**
     * A request that arrived from a router.
     *
     * @param excused whether the router had been disturbed shortly before
     */
    private record Arrival(long at, Router router, boolean excused) {

        /** Returns whether the request is in the window and its router is not excused now. */
        boolean counts(long now) {
            return at > now - WINDOW_MILLIS && !router.isExcused(now);
        }
    }

    /** A report of a router, and when it was made. */
    private record Report(long at, Map<UpstreamIncarnation, RateReport> rates) {}

    /** An upstream and the requests that it received. */
    static final class Upstream {
        final UpstreamEntry mEntry;
        double mRate = Double.NaN;
        long mAnnouncedAt;
        int mCalls;
        double mBound;
        final List<Arrival> mArrivals = new ArrayList<>();

        /** Fullest window since the rate is binding, as a fraction of the bound. */
        double mMaxFill;

        /** Fullest window that lies after the rate was known, as a fraction of the bound. */
        double mMaxFillOnceKnown;

        /**
         * The same, including the requests of excused routers, such as those that were sent soon
         * after a restart, when the router did not know the rate.
         */
        double mMaxFillWithRestarts;

        /** Requests received while a rate was announced, and the number that the rate allowed. */
        long mReceived;

        double mCapacity;

        Upstream(String id) {
            mEntry = TestUpstreams.plain(id, "hall-a");
        }

        boolean isLimited() {
            return !Double.isNaN(mRate);
        }

        /**
         * Returns the number of requests in the window that ends now.
         *
         * @param known whether to leave out requests of routers that were excused
         */
        private long window(long now, boolean known) {
            return mArrivals.stream()
                    .filter(each -> each.counts(now) && !(known && each.excused()))
                    .count();
        }

        /** Records the window that ends now. */
        private void recordWindow(long now) {
            if (isLimited() && now - mAnnouncedAt >= BINDING_MILLIS) {
                mMaxFill = Math.max(mMaxFill, window(now, false) / mBound);
                if (now - mAnnouncedAt >= WINDOW_MILLIS + PROPAGATION_MILLIS) {
                    mMaxFillOnceKnown = Math.max(mMaxFillOnceKnown, window(now, true) / mBound);
                    mMaxFillWithRestarts =
                            Math.max(mMaxFillWithRestarts, window(now, false) / mBound);
                }
            }
        }
    }

    /** A router. */
    private final class Router implements PeerRates {
        final Deque<Report> mReports = new ArrayDeque<>();
        Report mLastReport = new Report(0, Map.of());
        int mGroup;
        long mDownUntil;

        /**
         * End of the last restart, freeze or partition, which excuses the router for some time
         * after it.
         */
        long mDisturbedUntil;

        UpstreamRates mRates;
        final Map<UpstreamIncarnation, RateReport> mPeers = new HashMap<>();
        long mPeersAt;
        int mPeerCount;

        Router() {
            start();
        }

        void start() {
            mReports.clear();
            mPeers.clear();
            mRates =
                    new UpstreamRates(
                            mTime.loop(),
                            mTime::millis,
                            mRandom,
                            this,
                            mRouters::size,
                            new MetricRegistry());
        }

        boolean isExcused(long now) {
            return now - mDisturbedUntil < BINDING_MILLIS;
        }

        boolean isRunning() {
            return mTime.millis() >= mDownUntil;
        }

        @Override
        public RateReport rate(UpstreamIncarnation upstream, long now) {
            RateReport report = mPeers.get(upstream);
            return report == null ? RateReport.NONE : report.aged(now - mPeersAt);
        }

        @Override
        public int peerCount() {
            return mPeerCount;
        }
    }

    UpstreamRateSimulation(long seed, Strategy strategy, int routers, int delayMillis) {
        mRandom = new Random(seed);
        mStrategy = strategy;
        mDelayMillis = delayMillis;
        mTime.advance(100_000);
        for (int number = 0; number < routers; number++) {
            mRouters.add(new Router());
        }
    }

    Upstream upstream(String id) {
        Upstream upstream = new Upstream(id);
        mUpstreams.add(upstream);
        return upstream;
    }

    /** Makes an upstream announce a rate from now on, or none if it is not a number. */
    void announce(Upstream upstream, double rate) {
        double bound = 1.5 * rate * WINDOW_MILLIS / 1000 + 5;
        boolean lower = upstream.isLimited() && bound < upstream.mBound;
        upstream.mAnnouncedAt =
                upstream.isLimited() && !lower ? upstream.mAnnouncedAt : mTime.millis();
        upstream.mRate = rate;
        upstream.mBound = bound;
    }

    /** Restarts a fraction of the routers, which lose all state. */
    void restart(double share, int millis) {
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                router.start();
                down(router, millis);
            }
        }
    }

    /** Freezes a fraction of the routers, which keep their state. */
    void freeze(double share, int millis) {
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                down(router, millis);
            }
        }
    }

    private void down(Router router, int millis) {
        router.mDownUntil = mTime.millis() + millis;
        router.mDisturbedUntil = router.mDownUntil;
    }

    /**
     * Partitions a fraction of the routers off from the others, as one group, until {@link #heal}.
     */
    void partition(double share) {
        int group = mGroups++;
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                router.mGroup = group;
                router.mDisturbedUntil = Long.MAX_VALUE / 2;
            }
        }
    }

    void heal() {
        for (Router router : mRouters) {
            if (router.mGroup != 0) {
                router.mDisturbedUntil = mTime.millis();
            }
            router.mGroup = 0;
        }
    }

    /** Generates requests for a time. */
    void pass(int millis, double perSecond) {
        for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
            mTime.advance(STEP_MILLIS);
            long now = mTime.millis();
            answer(now);
            if (now % REPORT_MILLIS == 0) {
                exchangeReports(now);
            }
            double due = perSecond * STEP_MILLIS / 1000;
            for (int left = Arrivals.poisson(mRandom, due); left > 0; left--) {
                send(now, mRandom.nextDouble() < mUrgentFraction ? 0 : 1);
            }
            for (Upstream upstream : mUpstreams) {
                upstream.recordWindow(now);
                upstream.mCapacity +=
                        upstream.isLimited() ? upstream.mRate * STEP_MILLIS / 1000 : 0;
            }
        }
    }

    private void send(long now, int rank) {
        int index = (int) (mRouters.size() * Math.pow(mRandom.nextDouble(), 1.5));
        Router router = mRouters.get(index);
        if (!router.isRunning()) {
            return;
        }
        FlowKey flow = new FlowKey(rank, FlowKey.NO_ORGANISATION);
        mAsked[rank]++;
        List<Upstream> ordered = new ArrayList<>(mUpstreams);
        Collections.shuffle(ordered, mRandom);
        ordered.sort(Comparator.comparingInt(upstream -> upstream.mCalls));
        for (Upstream upstream : ordered) {
            if (router.mRates.tryAcquire(upstream.mEntry, flow)) {
                mServed[rank]++;
                upstream.mArrivals.add(new Arrival(now, router, router.isExcused(now)));
                upstream.mCalls++;
                upstream.mReceived += upstream.isLimited() ? 1 : 0;
                mCalls.add(new Call(router, upstream, now));
                return;
            }
        }
    }

    private void answer(long now) {
        while (!mCalls.isEmpty() && mCalls.peek().sentAt() + WORK_MILLIS <= now) {
            Call call = mCalls.poll();
            call.upstream().mCalls--;
            AnnouncedRate rate =
                    call.upstream().isLimited()
                            ? AnnouncedRate.of(call.upstream().mRate)
                            : AnnouncedRate.NONE;
            if (call.router().isRunning()) {
                call.router()
                        .mRates
                        .recordAnnouncement(
                                call.upstream().mEntry,
                                rate,
                                UpstreamPort.Verdict.SUCCESS,
                                WORK_MILLIS);
            }
        }
    }

    /** Lets all routers report, and delivers the reports that are due. */
    private void exchangeReports(long now) {
        for (Router router : mRouters) {
            if (router.isRunning()) {
                router.mReports.add(new Report(now, router.mRates.report()));
            }
            while (!router.mReports.isEmpty()
                    && router.mReports.peek().at() + mDelayMillis <= now) {
                router.mLastReport = router.mReports.poll();
            }
        }
        if (mStrategy == Strategy.REPORTED) {
            mRouters.stream()
                    .filter(Router::isRunning)
                    .forEach(router -> receiveReports(router, now));
        }
    }

    /** Aggregates the reports of the others at a router. */
    private void receiveReports(Router router, long now) {
        router.mPeers.clear();
        router.mPeersAt = now;
        router.mPeerCount = 0;
        for (Router other : mRouters) {
            Report report = other.mLastReport;
            boolean silent = now - report.at() > REPORT_TTL_MILLIS + mDelayMillis;
            if (other == router || other.mGroup != router.mGroup || silent) {
                continue;
            }
            router.mPeerCount++;
            report.rates()
                    .forEach(
                            (id, rate) ->
                                    router.mPeers.merge(
                                            id, rate.aged(now - report.at()), RateReport::plus));
        }
    }
}
