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
import org.troutpier.daemon.node.ManualTime;
import org.troutpier.daemon.notice.AnnouncedRate;

/**
 * Routers under upstreams that name rates, in virtual time: the real count and decision at each,
 * views of each other that are late, and routers that are cut off, restarted or frozen. A run is a
 * function of its seed.
 */
final class UpstreamRateSimulation {

    /** How routers keep to a rate. */
    enum Way {
        /** Each reports what it sends, and the sum decides. */
        REPORTED,
        /** Each has a fixed part. */
        FIXED_PART
    }

    static final int WINDOW_MILLIS = 4000;

    /** After how long a rate binds, milliseconds; the users' {@code contact_ms}. */
    static final int BINDS_MILLIS = 3000;

    /** After how long routers have passed a rate on, milliseconds; the users' figure. */
    private static final int KNOWN_MILLIS = 500;

    private static final int STEP_MILLIS = 10;
    private static final int REPORT_MILLIS = 50;
    private static final int WORK_MILLIS = 90;
    private static final int BELIEVED_MILLIS = 1500;

    private final Random mRandom;
    private final Way mWay;
    private final int mLateMillis;
    private final ManualTime mTime = new ManualTime();
    private final List<Router> mRouters = new ArrayList<>();
    private final List<Upstream> mUpstreams = new ArrayList<>();
    private final Deque<Call> mCalls = new ArrayDeque<>();
    private int mGroups = 1;

    /** Which part of the requests is urgent. */
    double mUrgentPart;

    /** What was asked and served, of the urgent and of the others. */
    final long[] mAsked = new long[2];

    final long[] mServed = new long[2];

    /** The upstream that a test looks at. */
    Upstream mShown;

    /** A call under way. */
    private record Call(Router router, Upstream upstream, long sentAt) {}

    /**
     * A request that came from a router.
     *
     * @param excused whether the router was disturbed a while before
     */
    private record Arrival(long at, Router router, boolean excused) {

        /** Returns whether it lies in the window, from a router that is not excused now. */
        boolean counts(long now) {
            return at > now - WINDOW_MILLIS && !router.excused(now);
        }
    }

    /** What a router reported, and when others hear it. */
    private record Report(long at, Map<UpstreamIncarnation, RateReport> rates) {}

    /** An upstream, and what came to it. */
    static final class Upstream {
        final UpstreamEntry mEntry;
        double mRate = Double.NaN;
        long mNamedAt;
        int mCalls;
        double mBound;
        final List<Arrival> mArrivals = new ArrayList<>();

        /** The fullest window since the rate binds, as a part of the bound. */
        double mMost;

        /** The fullest window that lies after the rate was known, as a part of the bound. */
        double mMostKnown;

        /**
         * The same, with what routers sent soon after a restart, when they did not know the rate.
         */
        double mMostRestarted;

        /** What came while a rate was named, and what it would have taken. */
        long mCame;

        double mTaken;

        Upstream(String id) {
            mEntry = TestUpstreams.plain(id, "hall-a");
        }

        boolean limited() {
            return !Double.isNaN(mRate);
        }

        /**
         * Returns what came in the window that ends now.
         *
         * @param known whether to leave out what came while its router was excused
         */
        private long window(long now, boolean known) {
            return mArrivals.stream()
                    .filter(each -> each.counts(now) && !(known && each.excused()))
                    .count();
        }

        /** Judges the window that ends now. */
        private void judge(long now) {
            if (limited() && now - mNamedAt >= BINDS_MILLIS) {
                mMost = Math.max(mMost, window(now, false) / mBound);
                if (now - mNamedAt >= WINDOW_MILLIS + KNOWN_MILLIS) {
                    mMostKnown = Math.max(mMostKnown, window(now, true) / mBound);
                    mMostRestarted = Math.max(mMostRestarted, window(now, false) / mBound);
                }
            }
        }
    }

    /** One router. */
    private final class Router implements PeerRates {
        final Deque<Report> mReports = new ArrayDeque<>();
        Report mHeard = new Report(0, Map.of());
        int mGroup;
        long mDownUntil;

        /** Until when it was restarted, frozen or cut off, which excuses it for a while. */
        long mDisturbedUntil;

        UpstreamRates mRates;
        final Map<UpstreamIncarnation, RateReport> mOthers = new HashMap<>();
        long mOthersAt;
        int mOthersCount;

        Router() {
            start();
        }

        void start() {
            mReports.clear();
            mOthers.clear();
            mRates =
                    new UpstreamRates(
                            mTime.loop(),
                            mTime::millis,
                            mRandom,
                            this,
                            mRouters::size,
                            new MetricRegistry());
        }

        boolean excused(long now) {
            return now - mDisturbedUntil < BINDS_MILLIS;
        }

        boolean works() {
            return mTime.millis() >= mDownUntil;
        }

        @Override
        public RateReport rate(UpstreamIncarnation upstream, long now) {
            RateReport report = mOthers.get(upstream);
            return report == null ? RateReport.NONE : report.aged(now - mOthersAt);
        }

        @Override
        public int peerCount() {
            return mOthersCount;
        }
    }

    UpstreamRateSimulation(long seed, Way way, int routers, int lateMillis) {
        mRandom = new Random(seed);
        mWay = way;
        mLateMillis = lateMillis;
        mTime.pass(100_000);
        for (int number = 0; number < routers; number++) {
            mRouters.add(new Router());
        }
    }

    Upstream upstream(String id) {
        Upstream upstream = new Upstream(id);
        mUpstreams.add(upstream);
        return upstream;
    }

    /** Has an upstream name a rate from now on, or none where it is not a number. */
    void name(Upstream upstream, double rate) {
        double bound = 1.5 * rate * WINDOW_MILLIS / 1000 + 5;
        boolean lower = upstream.limited() && bound < upstream.mBound;
        upstream.mNamedAt = upstream.limited() && !lower ? upstream.mNamedAt : mTime.millis();
        upstream.mRate = rate;
        upstream.mBound = bound;
    }

    /** Restarts a part of the routers, which know nothing after it. */
    void restart(double share, int millis) {
        for (Router router : mRouters) {
            if (mRandom.nextDouble() < share) {
                router.start();
                down(router, millis);
            }
        }
    }

    /** Freezes a part of the routers, which go on with what they knew. */
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

    /** Cuts a part of the routers off from the others, together. A heal ends it. */
    void cut(double share) {
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

    /** Has callers ask for a while. */
    void pass(int millis, double perSecond) {
        for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
            mTime.pass(STEP_MILLIS);
            long now = mTime.millis();
            answer(now);
            if (now % REPORT_MILLIS == 0) {
                report(now);
            }
            double due = perSecond * STEP_MILLIS / 1000;
            for (int left = Arrivals.poisson(mRandom, due); left > 0; left--) {
                ask(now, mRandom.nextDouble() < mUrgentPart ? 0 : 1);
            }
            for (Upstream upstream : mUpstreams) {
                upstream.judge(now);
                upstream.mTaken += upstream.limited() ? upstream.mRate * STEP_MILLIS / 1000 : 0;
            }
        }
    }

    private void ask(long now, int rank) {
        int index = (int) (mRouters.size() * Math.pow(mRandom.nextDouble(), 1.5));
        Router router = mRouters.get(index);
        if (!router.works()) {
            return;
        }
        FlowKey asker = new FlowKey(rank, FlowKey.NO_ORGANISATION);
        mAsked[rank]++;
        List<Upstream> ordered = new ArrayList<>(mUpstreams);
        Collections.shuffle(ordered, mRandom);
        ordered.sort(Comparator.comparingInt(upstream -> upstream.mCalls));
        for (Upstream upstream : ordered) {
            if (router.mRates.tryAcquire(upstream.mEntry, asker)) {
                mServed[rank]++;
                upstream.mArrivals.add(new Arrival(now, router, router.excused(now)));
                upstream.mCalls++;
                upstream.mCame += upstream.limited() ? 1 : 0;
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
                    call.upstream().limited()
                            ? AnnouncedRate.of(call.upstream().mRate)
                            : AnnouncedRate.NONE;
            if (call.router().works()) {
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

    /** Has all report, and hear what was reported a while ago. */
    private void report(long now) {
        for (Router router : mRouters) {
            if (router.works()) {
                router.mReports.add(new Report(now, router.mRates.report()));
            }
            while (!router.mReports.isEmpty() && router.mReports.peek().at() + mLateMillis <= now) {
                router.mHeard = router.mReports.poll();
            }
        }
        if (mWay == Way.REPORTED) {
            mRouters.stream().filter(Router::works).forEach(router -> hear(router, now));
        }
    }

    /** Sums up what a router hears of the others. */
    private void hear(Router router, long now) {
        router.mOthers.clear();
        router.mOthersAt = now;
        router.mOthersCount = 0;
        for (Router other : mRouters) {
            Report heard = other.mHeard;
            boolean silent = now - heard.at() > BELIEVED_MILLIS + mLateMillis;
            if (other == router || other.mGroup != router.mGroup || silent) {
                continue;
            }
            router.mOthersCount++;
            heard.rates()
                    .forEach(
                            (id, rate) ->
                                    router.mOthers.merge(
                                            id, rate.aged(now - heard.at()), RateReport::plus));
        }
    }
}
