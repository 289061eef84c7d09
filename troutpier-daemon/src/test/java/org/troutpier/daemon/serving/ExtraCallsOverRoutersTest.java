package org.troutpier.daemon.serving;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/** Arrivals beyond the first of each request, summed over routers whose upstreams fail. */
public final class ExtraCallsOverRoutersTest {

    private static final int ROUTERS = 7;
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 30;
    private static final int WINDOW_MILLIS = 10_000;
    private static final int MAX_ANSWER_MILLIS = 400;

    private final ManualClock mTime = new ManualClock();
    private final List<Long> mRequests = new ArrayList<>();
    private final List<Long> mExtraArrivals = new ArrayList<>();
    private final Map<RequestId, Integer> mArrivals = new HashMap<>();
    private final Map<RequestId, Boolean> mPrefilled = new HashMap<>();

    @DataProvider
    static Object[][] ends() {
        AttemptEnd refused = AttemptEnd.refused(false, "status 503");
        AttemptEnd lost = AttemptEnd.lost("reset");
        AttemptEnd replaced = AttemptEnd.refused(true, "status 421");
        AttemptEnd unreached = AttemptEnd.unreached("connection refused");
        AttemptEnd failed = AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "status 500");
        return new Object[][] {
            {List.of(refused)},
            {List.of(lost)},
            {List.of(refused, lost, replaced, unreached, failed)}
        };
    }

    @Test(dataProvider = "ends")
    public void callsAfterFailedPrefillsDoNotExceedTheBudgetOfAllRouters(List<AttemptEnd> ends) {
        play(ends, 3, Integer.MAX_VALUE);
    }

    @Test(dataProvider = "ends")
    public void restartedRoutersDoNotUseTheirShareOfTheBudgetAgain(List<AttemptEnd> ends) {
        play(ends, 1, 8);
    }

    /**
     * Serves requests at all routers, then checks each window.
     *
     * @param kinds how many kinds of requests are sent
     * @param restartOneIn after how many requests a router is restarted on average
     */
    private void play(List<AttemptEnd> ends, int kinds, int restartOneIn) {
        Random random = new Random(11);
        mRequests.clear();
        mExtraArrivals.clear();
        mArrivals.clear();
        mPrefilled.clear();
        List<ServingContext> routers = new ArrayList<>();
        Stream.generate(() -> router(ends, random)).limit(ROUTERS).forEach(routers::add);
        for (int sent = 0; sent < 1000; sent++) {
            mTime.advance(random.nextInt(200));
            ServingContext router = routers.get(random.nextInt(ROUTERS));
            mRequests.add(mTime.millis());
            execution(router, "r" + sent, random.nextInt(kinds)).begin();
            if (random.nextInt(restartOneIn) == 0) {
                ServingContext restarted = router(ends, random);
                restarted.extraCallBudget().withholdAllowance(mTime.millis());
                routers.set(random.nextInt(ROUTERS), restarted);
            }
        }
        mTime.advance(WINDOW_MILLIS);
        for (long end : mExtraArrivals) {
            long extra = count(mExtraArrivals, end);
            long requests =
                    Stream.of(end, end - WINDOW_MILLIS / 2, end - WINDOW_MILLIS)
                            .mapToLong(each -> count(mRequests, each))
                            .max()
                            .orElseThrow();
            String figures = extra + " extra arrivals for " + requests + " requests at " + end;
            assertTrue(extra <= RATIO * requests + ALLOWANCE, figures);
        }
    }

    private static long count(List<Long> times, long end) {
        return times.stream().filter(at -> at > end - WINDOW_MILLIS && at <= end).count();
    }

    private ServingContext router(List<AttemptEnd> ends, Random random) {
        TestContext setup = new TestContext(mTime);
        setup.mRandom = random;
        setup.mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        List<UpstreamEntry> upstreams = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            upstreams.add(TestUpstreams.prefill("p" + number));
            upstreams.add(TestUpstreams.decode("d" + number));
            upstreams.add(TestUpstreams.plain("w" + number, "hall-a"));
        }
        setup.mDirectory.replaceAll(upstreams);
        double share = ALLOWANCE * ExtraCallBudget.routerShare(ROUTERS);
        setup.mExtraCallBudget = new ExtraCallBudget(RATIO, share, WINDOW_MILLIS);
        setup.mPort = new FailingPort(ends, random);
        return setup.build();
    }

    private RequestExecution execution(ServingContext context, String id, int kind) {
        PromptMetadata prompt = new PromptMetadata("m", 100, 100, List.of());
        ServingRequest request = TestRequests.of(id, "/x", new byte[0], Optional.of(prompt));
        List<Route.WeightedService> services = List.of(new Route.WeightedService("service", 1));
        Route.Kind routeKind = kind == 0 ? Route.Kind.REPEATABLE : Route.Kind.RESUMABLE_STREAM;
        Route route = new Route("r", "h", "/", routeKind, 8000, 900, 300, 1, 2, services, false);
        EngineTraits traits = new EngineTraits(10, 90_000, 4, 2000, 500, 100);
        CallerChannel caller = new FakeCaller();
        return kind == 0
                ? new PlainExecution(context, request, route, "service", caller)
                : new StreamExecution(
                        context, request, route, "service", Optional.of(traits), caller);
    }

    /** Upstreams that complete one in five prefills and fail all other calls. */
    private final class FailingPort extends FakePort {

        private final List<AttemptEnd> mEnds;
        private final Random mRandom;

        FailingPort(List<AttemptEnd> ends, Random random) {
            mEnds = ends;
            mRandom = random;
        }

        @Override
        public Call run(
                UpstreamEntry upstream, ServingRequest request, RunPlan plan, RunListener run) {
            AttemptEnd end = mEnds.get(mRandom.nextInt(mEnds.size()));
            recordArrival(request.id(), end, false);
            answer(() -> run.onFailure(end));
            return super.run(upstream, request, plan, run);
        }

        @Override
        public Call prefill(
                UpstreamEntry upstream,
                ServingRequest request,
                RunPlan plan,
                ResultListener<StoredPrompt> listener) {
            AttemptEnd end = mEnds.get(mRandom.nextInt(mEnds.size()));
            boolean done = mRandom.nextInt(5) == 0;
            recordArrival(request.id(), end, done);
            answer(
                    () -> {
                        if (done) {
                            listener.onResult(new StoredPrompt(upstream, "handle"));
                        } else {
                            listener.onFailure(end);
                        }
                    });
            return super.prefill(upstream, request, plan, listener);
        }

        private void answer(Runnable answer) {
            mTime.loop().schedule(answer, mRandom.nextInt(MAX_ANSWER_MILLIS));
        }

        private void recordArrival(RequestId id, AttemptEnd end, boolean prefilled) {
            boolean exempt = prefilled && mPrefilled.putIfAbsent(id, true) == null;
            boolean arrived = prefilled || !end.neverReached();
            if (arrived && !exempt && mArrivals.merge(id, 1, Integer::sum) > 1) {
                mExtraArrivals.add(mTime.millis());
            }
        }
    }
}
