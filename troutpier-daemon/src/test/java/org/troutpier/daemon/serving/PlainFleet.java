package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.TestReports;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.route.Organisation;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.route.UsageLimit;

/**
 * Routers that send plain calls to a few upstreams, and callers that return once after a refusal,
 * in virtual time. The routers' reports arrive late, as they do over a network. Confined to the
 * test's thread.
 */
final class PlainFleet {

    /** The target latency of answers, milliseconds. */
    static final int TARGET_MILLIS = 194;

    static final String REPEATABLE_PREFIX = "repeatable-";

    private static final int DEADLINE_MILLIS = 1500;

    private static final long REPORT_INTERVAL_MILLIS = 50;

    private static final long REPORT_DELAY_MILLIS = 20;

    final ManualClock mTime = new ManualClock();
    final List<PlainUpstream> mUpstreams = new ArrayList<>();
    final List<Router> mRouters = new ArrayList<>();
    final Map<String, PlainTally> mTallies = new HashMap<>();

    /** Time after which probes end without a result; 0 if they succeed at once. */
    long mProbeMillis;

    /** Which router receives {@link #mCrowdedShare} of the calls instead of its even share. */
    int mCrowdedRouter;

    /** The part of the calls that go to one router; the others go to any. */
    double mCrowdedShare;

    private final Random mRandom;
    private final LoadSettings mSettings;
    private long mNextRequest;

    PlainFleet(int routers, int upstreams, boolean plainQueue, long seed) {
        mRandom = new Random(seed);
        mSettings = new LoadSettings(false, false, false, plainQueue, false);
        for (int number = 0; number < upstreams; number++) {
            mUpstreams.add(new PlainUpstream("u" + number, "hall-" + number, mTime, mRandom));
        }
        for (int number = 0; number < routers; number++) {
            mRouters.add(new Router(number));
        }
        report();
    }

    PlainTally tally(String organisation) {
        return mTallies.computeIfAbsent(organisation, name -> new PlainTally());
    }

    /** Returns the sum over all organisations. */
    PlainTally total() {
        PlainTally total = new PlainTally();
        mTallies.values().forEach(total::add);
        return total;
    }

    int turnedAway() {
        return mUpstreams.stream().mapToInt(each -> each.mTurnedAway).sum();
    }

    /**
     * Lets an organisation's callers send requests at random times from now on.
     *
     * @param perSecond the mean rate over all routers
     */
    void send(String organisation, Route.Kind kind, double perSecond, long millis) {
        double at = 0;
        while (true) {
            at -= Math.log(1 - mRandom.nextDouble()) * 1000 / perSecond;
            if (at >= millis) {
                return;
            }
            mTime.loop().schedule(() -> new Caller(organisation, kind).attempt(), (long) at);
        }
    }

    /** Runs until all requests have ended. */
    void finish(long millis) {
        mTime.advance(millis + 2 * DEADLINE_MILLIS);
    }

    private Router drawRouter() {
        boolean crowded = mCrowdedShare > 0 && mRandom.nextDouble() < mCrowdedShare;
        return mRouters.get(crowded ? mCrowdedRouter : mRandom.nextInt(mRouters.size()));
    }

    private void report() {
        List<Router> senders = List.copyOf(mRouters);
        List<LoadReport> reports = new ArrayList<>();
        senders.forEach(each -> reports.add(each.report()));
        mTime.loop()
                .schedule(
                        () -> {
                            for (Router router : mRouters) {
                                router.receive(senders, reports);
                            }
                        },
                        REPORT_DELAY_MILLIS);
        mTime.loop().schedule(this::report, REPORT_INTERVAL_MILLIS);
    }

    /** Replaces a router by one that knows nothing. */
    void restart(int number) {
        mRouters.set(number, new Router(number));
    }

    /** A caller, with one request that is sent again once after a refusal. */
    private final class Caller implements CallerChannel {

        private final String mOrganisation;
        private final Route.Kind mKind;
        private final long mFirst = mTime.millis();
        private long mAttemptAt;
        private int mAttempts;
        private boolean mEnded;

        Caller(String organisation, Route.Kind kind) {
            mOrganisation = organisation;
            mKind = kind;
            tally(organisation).mSent++;
        }

        void attempt() {
            mAttempts++;
            mAttemptAt = mTime.millis();
            mEnded = false;
            Organisation organisation =
                    new Organisation(
                            new PartnerId(mOrganisation),
                            Set.of(),
                            OptionalInt.empty(),
                            UsageLimit.NONE);
            ServingRequest request =
                    new ServingRequest(
                            new RequestId(
                                    (mKind.repeatable() ? REPEATABLE_PREFIX : "once-")
                                            + mNextRequest++),
                            "POST",
                            "/x",
                            "h",
                            new DefaultHttpHeaders(),
                            new byte[0],
                            DEADLINE_MILLIS - (mAttemptAt - mFirst),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            new Requester.Member(organisation));
            Router router = drawRouter();
            new PlainExecution(router.mContext, request, route(), "service", this).begin();
        }

        private Route route() {
            return new Route(
                    "r",
                    "h",
                    "/",
                    mKind,
                    DEADLINE_MILLIS,
                    TARGET_MILLIS,
                    0,
                    2,
                    mKind.repeatable() ? 2 : 1,
                    List.of(new Route.WeightedService("service", 1)),
                    false);
        }

        @Override
        public void sendResponse(int status, HttpHeaders headers, byte[] body) {
            mEnded = true;
            PlainTally tally = tally(mOrganisation);
            if (status != 200) {
                tally.mFailed++;
            } else if (mTime.millis() - mAttemptAt > TARGET_MILLIS) {
                tally.mLate++;
            } else if (mAttempts > 1) {
                tally.mInTimeAfterReturn++;
            } else {
                tally.mInTime++;
            }
        }

        @Override
        public void refuse(ResultCode code, String detail, long retryAfterMillis) {
            mEnded = true;
            if (code.family() != ResultCode.Family.NOT_RUN) {
                tally(mOrganisation).mFailed++;
                return;
            }
            if (mAttempts > 1) {
                tally(mOrganisation).mRefused++;
                return;
            }
            tally(mOrganisation).mRefusalMillis.add(mTime.millis() - mAttemptAt);
            mTime.loop().schedule(this::attempt, retryAfterMillis);
        }

        @Override
        public void abort() {
            if (!mEnded) {
                tally(mOrganisation).mFailed++;
            }
        }

        @Override
        public void beginStream(int status, HttpHeaders headers) {}

        @Override
        public void write(byte[] part) {}

        @Override
        public void endStream() {}

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onDisconnect(Runnable action) {}

        @Override
        public void onWritable(Runnable action) {}
    }

    /** Passes runs to the upstreams. Confined to the test's thread. */
    private final class Port implements UpstreamPort {

        private final FakePort mRest = new FakePort();
        private final Router mRouter;

        Port(Router router) {
            mRouter = router;
        }

        @Override
        public Call run(
                UpstreamEntry upstream,
                ServingRequest request,
                RunPlan plan,
                RunListener listener) {
            PlainUpstream target =
                    mUpstreams.stream()
                            .filter(each -> each.mEntry.id().equals(upstream.id()))
                            .findFirst()
                            .orElseThrow();
            long roundTrip = mRouter.mRoundTripMillis;
            PlainUpstream.Run run = target.new Run(request.id(), listener, roundTrip);
            mTime.loop().schedule(() -> target.accept(run), 2 + roundTrip + roundTrip / 2);
            return run;
        }

        @Override
        public Call prefill(
                UpstreamEntry upstream,
                ServingRequest request,
                RunPlan plan,
                ResultListener<StoredPrompt> listener) {
            return mRest.prefill(upstream, request, plan, listener);
        }

        @Override
        public Call reserve(
                UpstreamEntry upstream,
                long tokens,
                int millis,
                ResultListener<Reservation> listener) {
            return mRest.reserve(upstream, tokens, millis, listener);
        }

        @Override
        public void release(UpstreamEntry upstream, Reservation reservation) {}

        @Override
        public void discard(StoredPrompt prompt) {}

        @Override
        public void probe(UpstreamEntry upstream, Consumer<ProbeResult> listener) {
            if (mProbeMillis == 0) {
                listener.accept(ProbeResult.LISTENING);
            } else {
                mTime.loop().schedule(() -> listener.accept(ProbeResult.UNKNOWN), mProbeMillis);
            }
        }
    }

    /** One router. */
    final class Router {

        private final Incarnation mIncarnation;
        private final PeerLoads mPeers = new PeerLoads();
        final ServingContext mContext;

        /** How long a packet and its answer wait at this router, milliseconds. */
        long mRoundTripMillis;

        /** The routers that hear each other; all of one group do. */
        int mGroup;

        Router(int number) {
            mIncarnation = Incarnation.create(new InstanceId("router-" + number));
            mContext = context(new Port(this));
        }

        private ServingContext context(UpstreamPort port) {
            TestContext context = new TestContext(mTime);
            context.mRandom = new Random(PlainFleet.this.mRandom.nextLong());
            context.mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
            context.mDirectory.replaceAll(mUpstreams.stream().map(each -> each.mEntry).toList());
            context.mPort = port;
            context.mPeers = mPeers;
            context.mSettings = mSettings;
            context.mExtraCallBudget = new ExtraCallBudget(0.2, 2, 10_000);
            context.mRouters = mRouters.size() + 1;
            return context.build();
        }

        private LoadReport report() {
            return TestReports.of(
                    mContext.loads().usage(),
                    mContext.plainCalls().report(),
                    mContext.plainCalls().arrivals());
        }

        private void receive(List<Router> senders, List<LoadReport> reports) {
            for (int index = 0; index < senders.size(); index++) {
                Router sender = senders.get(index);
                if (sender != this && sender.mGroup == mGroup) {
                    mPeers.update(
                            sender.mIncarnation,
                            TestUpstreams.HALL,
                            ReportScope.OWN,
                            reports.get(index),
                            mTime.millis());
                }
            }
            mPeers.aggregate(mTime.millis());
        }
    }
}
