package org.troutpier.daemon.serving;

import com.codahale.metrics.MetricRegistry;
import java.util.Random;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.cluster.LoadView;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.decision.GrowthMargin;
import org.troutpier.daemon.decision.LatencyEstimator;
import org.troutpier.daemon.decision.PredictionCheck;
import org.troutpier.daemon.decision.RetryPacer;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.limit.UsageSettings;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.OrganisationLimiter;
import org.troutpier.daemon.pace.PaceEstimate;
import org.troutpier.daemon.plain.FleetView;
import org.troutpier.daemon.plain.PlainCalls;
import org.troutpier.daemon.plain.Schedule;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.waiting.ReturnSchedule;
import org.troutpier.daemon.waiting.WaitingOrder;

/** Assembles the collaborators of executions for tests; what a test does not set has a default. */
final class TestContext {

    private final ManualClock mTime;

    UpstreamPort mPort = new FakePort();

    UpstreamDirectory mDirectory;

    PeerLoads mPeers = new PeerLoads();

    Random mRandom = new Random(1);

    LoadView mView = Runnable::run;

    LoadSettings mSettings = LoadSettings.DEFAULT;

    MetricRegistry mMetrics = new MetricRegistry();

    ExtraCallBudget mExtraCallBudget = new ExtraCallBudget(0, 0, 10_000);

    Quarantine mQuarantine;

    ReturnSchedule mReturns;

    WaitingOrder mOrder = WaitingOrder.ALONE;

    int mRouters = 1;

    TestContext(ManualClock time) {
        mTime = time;
    }

    ServingContext build() {
        TrafficLoop loop = mTime.loop();
        PaceEstimate paces = new PaceEstimate(mSettings.pace(), mPeers::pace, mTime::millis);
        UpstreamLoads loads = new UpstreamLoads(loop, mRandom, TestUpstreams.HALL, mPeers, paces);
        UpstreamAdmission admission =
                new UpstreamAdmission(
                        loads,
                        new UpstreamRates(loop, mTime::millis, mRandom, mPeers, () -> 1, mMetrics),
                        new UpstreamNotices(loop, mRandom, mMetrics),
                        mRandom);
        if (mDirectory == null) {
            mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        }
        if (mQuarantine == null) {
            mQuarantine = new Quarantine(QuarantineSettings.DEFAULT, mTime::millis, mMetrics);
        }
        return new ServingContext(
                loop,
                mPort,
                mDirectory,
                loads,
                admission,
                mExtraCallBudget,
                new ReservationAllocator(loop, mPort, loads, admission, mView, mRandom, mOrder),
                new OrganisationLimiter(
                        UsageSettings.DEFAULT, mTime::millis, mRandom, mPeers, () -> 1, mMetrics),
                new RecentRefusals(),
                new CrashGuard(loop, mPort, mDirectory, mQuarantine, mMetrics),
                new StreamOrigins(mTime.control(), mTime::millis, mMetrics),
                new RetryPacer(mRandom),
                mReturns == null ? new ReturnSchedule(mRandom) : mReturns,
                new GrowthMargin(),
                LatencyEstimator.forPrefillExcess(),
                new PredictionCheck(),
                LatencyEstimator.forFirstEvent(),
                mPeers,
                mView,
                new DemandMeter(),
                new ServingMetrics(mMetrics),
                new DecisionLog(
                        new MetricRegistry(), new EventRing("router", 16, new HybridClock()), loop),
                new PlainCalls(
                        new ClockSchedule(loop),
                        new FleetView(loads::calls, mPeers, () -> mRouters),
                        mRandom,
                        new MetricRegistry()),
                new StopDeadline(loop),
                mSettings,
                mRandom);
    }

    /**
     * Runs actions on a manual clock, at which the load of the other routers is always known.
     *
     * @param loop the traffic loop
     */
    record ClockSchedule(TrafficLoop loop) implements Schedule {

        /** {@inheritDoc} */
        @Override
        public long millis() {
            return loop.millis();
        }

        /** {@inheritDoc} */
        @Override
        public void runFresh(Runnable action, long millis) {
            loop.schedule(action, millis);
        }
    }
}
