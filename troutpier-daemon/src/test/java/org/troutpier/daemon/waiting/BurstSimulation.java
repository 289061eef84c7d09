package org.troutpier.daemon.waiting;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.decision.MemoryWaitForecast;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.RetryPacer;
import org.troutpier.daemon.decision.RoomForecast;
import org.troutpier.daemon.decision.WaitBudget;
import org.troutpier.daemon.limit.Arrivals;
import org.troutpier.daemon.limit.FlowKey;

/**
 * The decisions of several routers on refusing requests and on their return, in virtual time: real
 * queues, forecasts and schedules, and engines that only have memory. A run is determined by its
 * seed.
 */
final class BurstSimulation {

    static final long TARGET_MILLIS = 900;
    private static final long STEP_MILLIS = 20;
    private static final int ENGINES = 17;
    private static final long MEMORY = 68_000;
    private static final double MARGIN = 14_000;
    private static final long PROMPT = 5000;
    private static final long MAX_PROMPT = 11_000;
    private static final double PROMPT_SPREAD = 0.5;
    private static final long OUTPUT = 4200;
    private static final long RUN_MILLIS = 4400;
    private static final long DEADLINE_MILLIS = 14_000;
    private static final WaitBudget.Prediction PREDICTION = new WaitBudget.Prediction(150, 50);
    private static final long PREDICTION_MILLIS = 200;
    private static final FlowKey FLOW = new FlowKey(1, FlowKey.NO_ORGANISATION);

    /** The runs each second for which ends of runs free memory while the engines are full. */
    static final double CAPACITY = ENGINES * (MEMORY - MARGIN) / PROMPT / RUN_MILLIS * 1000;

    private final Random mRandom;
    private final boolean mOrdered;
    private final long mReportMillis;
    private final List<Router> mRouters = new ArrayList<>();
    private final List<List<Run>> mEngines = new ArrayList<>();
    private final List<Request> mReturning = new ArrayList<>();
    private long mNow = 100_000;

    int mArrived;
    int mInTime;
    int mLate;
    int mRefused;
    int mRefusedAgain;

    /** Requests in time that were refused at once. */
    int mRefusedAtOnce;

    /** A request of a caller that returns once after a refusal. */
    private final class Request {
        final long mArrival = mNow;
        final long mPrompt =
                (long)
                        Math.min(
                                MAX_PROMPT,
                                PROMPT
                                        * Math.exp(
                                                PROMPT_SPREAD * mRandom.nextGaussian()
                                                        - PROMPT_SPREAD * PROMPT_SPREAD / 2));
        boolean mRefusedBefore;
        long mReturnAt;
        long mSearchStart;
        Claim mClaim;

        QueueTier tier() {
            return mRefusedBefore ? QueueTier.LATE : QueueTier.IN_TIME;
        }
    }

    /** A run that began at an engine. */
    private record Run(long prompt, long start) {}

    /** What a router reported last. */
    private record Told(Demand demand, WaitingReport waiting) {
        static final Told NOTHING = new Told(Demand.NONE, WaitingReport.NONE);
    }

    /** A router. */
    private final class Router {
        final WaitingQueue<Request> mQueue = new WaitingQueue<>();
        final RetryPacer mPacer = new RetryPacer(mRandom);
        final ReturnSchedule mSchedule = new ReturnSchedule(mRandom);
        final DemandMeter mDemand = new DemandMeter();
        Told mTold = Told.NOTHING;
        boolean mCutOff;

        double waitingCost() {
            double[] cost = new double[1];
            mQueue.forEach(request -> cost[0] += request.mClaim.cost());
            return cost[0];
        }

        Told current() {
            List<WaitingReport.Entry> entries = new ArrayList<>();
            mQueue.forEach(
                    request ->
                            entries.add(
                                    new WaitingReport.Entry(
                                            "model",
                                            request.mClaim.tier(),
                                            FLOW.rank(),
                                            FLOW.organisation(),
                                            request.mClaim.cost(),
                                            request.mClaim.latestStartMillis() - mNow)));
            return new Told(
                    mDemand.publish(mNow).getOrDefault("model", Demand.NONE),
                    new WaitingReport(entries, Map.of(), mSchedule.returningCost(mNow)));
        }

        /** Returns what this router knows of all routers together. */
        Told view() {
            Told own = current();
            Demand demand = own.demand();
            List<WaitingReport> waiting = new ArrayList<>();
            for (Router other : mRouters) {
                if (other != this && !mCutOff && !other.mCutOff) {
                    demand = demand.plus(other.mTold.demand());
                    waiting.add(other.mTold.waiting());
                }
            }
            return new Told(demand, WaitingReport.NONE.plus(waiting));
        }

        void arrive(Request request) {
            if (!request.mRefusedBefore) {
                mArrived++;
                mDemand.recordRequest("model", request.mPrompt, mNow);
            }
            request.mSearchStart = mNow;
            long wait = budget(request).waitMillis(PREDICTION);
            request.mClaim = new Claim(request.tier(), FLOW, mNow + wait, request.mPrompt);
            double predicted = predictedWaitMillis(request.mClaim);
            if (predicted > wait) {
                mRefusedAtOnce += request.mRefusedBefore ? 0 : 1;
                refuse(request);
            } else if (!start(request)) {
                mQueue.add(request.mClaim, request);
            }
        }

        WaitBudget budget(Request request) {
            return new WaitBudget(
                    TARGET_MILLIS,
                    mNow - request.mSearchStart,
                    request.mArrival + DEADLINE_MILLIS - mNow,
                    request.tier());
        }

        double predictedWaitMillis(Claim claim) {
            Told view = view();
            if (mOrdered) {
                return forecast(claim, view).waitMillis(claim.cost());
            }
            double waiting = waitingCost();
            for (WaitingReport.Entry entry : view.waiting().entries()) {
                waiting += entry.cost();
            }
            return new MemoryWaitForecast(
                            ENGINES,
                            usedTokens(),
                            MEMORY - MARGIN,
                            (long) waiting,
                            view.demand().meanRunMillis())
                    .waitMillis((long) claim.cost());
        }

        RoomForecast forecast(Claim claim, Told view) {
            ServedBefore before = new ServedBefore(claim, mNow);
            mQueue.addTo(before, request -> request.mClaim);
            before.add(view.waiting(), "model", 0);
            boolean late = claim.tier() == QueueTier.LATE;
            double room = 0;
            for (List<Run> engine : mEngines) {
                double free = MEMORY - MARGIN - usedTokens(engine) - (late ? claim.cost() : 0);
                room += Math.max(0, Math.floor(free / claim.cost())) * claim.cost();
            }
            return new RoomForecast(
                    room,
                    before.cost(),
                    usedTokens() / Math.max(1, view.demand().meanRunMillis()),
                    view.demand().sustainedPromptTokensPerMilli());
        }

        void refuse(Request request) {
            if (request.mRefusedBefore) {
                mRefusedAgain++;
                return;
            }
            mRefused++;
            long limit = (long) ((request.mArrival + DEADLINE_MILLIS - mNow) * 0.32);
            request.mRefusedBefore = true;
            request.mReturnAt = mNow + returnDelayMillis(request, limit);
            mReturning.add(request);
        }

        private long returnDelayMillis(Request request, long limit) {
            if (!mOrdered || mCutOff) {
                return mPacer.nextDelayMillis(mNow, limit);
            }
            Told view = view();
            Claim claim = new Claim(QueueTier.LATE, FLOW, mNow + limit, request.mPrompt);
            RoomForecast forecast = forecast(claim, view);
            return mSchedule.assignDelayMillis(
                    claim,
                    new ReturnSchedule.Outlook(
                            forecast.leftPerMilli(),
                            view.demand().recentPromptTokensPerMilli() >= forecast.freedPerMilli(),
                            forecast.lackingTokens(),
                            view.waiting().returning()),
                    mNow,
                    limit);
        }

        /** Starts a request at the least used engine if it has room. */
        private boolean start(Request request) {
            List<Run> engine =
                    Collections.min(
                            mEngines,
                            (first, second) -> Long.compare(usedTokens(first), usedTokens(second)));
            long headroom = request.mRefusedBefore ? request.mPrompt : 0;
            if (usedTokens(engine) + request.mPrompt + headroom + MARGIN > MEMORY) {
                return false;
            }
            engine.add(new Run(request.mPrompt, mNow));
            mPacer.recordGrant(mNow);
            boolean inTime = mNow - request.mArrival + PREDICTION_MILLIS <= TARGET_MILLIS;
            mInTime += inTime ? 1 : 0;
            mLate += inTime ? 0 : 1;
            return true;
        }

        /** Tries the waiting requests in their order. */
        void retry() {
            for (Request request : mQueue.drain()) {
                if (start(request)) {
                    mQueue.charge(request.mClaim);
                } else if (mNow >= request.mClaim.latestStartMillis()) {
                    refuse(request);
                } else {
                    mQueue.add(request.mClaim, request);
                }
            }
        }
    }

    /**
     * Creates routers and idle engines.
     *
     * @param ordered whether forecasts count what is served before, and returns are scheduled over
     *     all routers
     * @param reportMillis the interval of reports, which are as old as that when they are used
     */
    BurstSimulation(long seed, boolean ordered, int routers, long reportMillis) {
        mRandom = new Random(seed);
        mOrdered = ordered;
        mReportMillis = reportMillis;
        for (int router = 0; router < routers; router++) {
            mRouters.add(new Router());
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            mEngines.add(new ArrayList<>());
        }
    }

    /** Cuts some routers off from all others. */
    void cutOff(int routers) {
        for (int router = 0; router < routers; router++) {
            mRouters.get(router).mCutOff = true;
        }
    }

    /** Replaces some routers by new ones that know nothing; what waits there is lost. */
    void restart(int routers) {
        for (int router = 0; router < routers; router++) {
            mRouters.set(router, new Router());
        }
    }

    /** Plays requests at a rate relative to the capacity. */
    void play(double load, long millis) {
        for (long until = mNow + millis; mNow < until; ) {
            mNow += STEP_MILLIS;
            endRuns();
            if (mNow % mReportMillis < STEP_MILLIS) {
                mRouters.forEach(router -> router.mTold = router.current());
            }
            List<Router> order = new ArrayList<>(mRouters);
            Collections.shuffle(order, mRandom);
            order.forEach(Router::retry);
            List<Request> due = new ArrayList<>(mReturning);
            due.removeIf(request -> request.mReturnAt > mNow);
            mReturning.removeAll(due);
            due.forEach(request -> router().arrive(request));
            int arrivals = Arrivals.poisson(mRandom, load * CAPACITY * STEP_MILLIS / 1000);
            for (int arrival = 0; arrival < arrivals; arrival++) {
                router().arrive(new Request());
            }
        }
    }

    private Router router() {
        return mRouters.get(mRandom.nextInt(mRouters.size()));
    }

    private void endRuns() {
        for (List<Run> engine : mEngines) {
            engine.removeIf(
                    run -> {
                        boolean ended = mNow - run.start() >= RUN_MILLIS;
                        if (ended) {
                            router().mDemand
                                    .recordRun(
                                            "model",
                                            new DemandMeter.CompletedRun(
                                                    run.prompt(), OUTPUT, RUN_MILLIS),
                                            mNow);
                        }
                        return ended;
                    });
        }
    }

    private long usedTokens() {
        long sum = 0;
        for (List<Run> engine : mEngines) {
            sum += usedTokens(engine);
        }
        return sum;
    }

    private long usedTokens(List<Run> engine) {
        long sum = 0;
        for (Run run : engine) {
            sum += run.prompt() + OUTPUT * (mNow - run.start()) / RUN_MILLIS;
        }
        return sum;
    }

    @Override
    public String toString() {
        return String.format(
                "arrived %d, in time %d, late %d, refused %d (at once in time %d), again %d",
                mArrived, mInTime, mLate, mRefused, mRefusedAtOnce, mRefusedAgain);
    }
}
