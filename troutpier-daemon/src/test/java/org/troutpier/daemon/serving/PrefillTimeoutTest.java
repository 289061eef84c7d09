package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.organisation.UsageReport;
import org.troutpier.daemon.pace.PaceEstimate;
import org.troutpier.daemon.pace.PaceReport;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.waiting.WaitingReport;

/** Tests when a prefill engine that has not answered is taken for silent. */
public final class PrefillTimeoutTest {

    private static final LoadSettings BY_LOAD = new LoadSettings(false, false, false, false, true);

    private ManualClock mTime;
    private FakePort mPort;
    private UpstreamDirectory mDirectory;
    private PeerLoads mPeers;
    private ServingContext mContext;

    private void setUp(LoadSettings load) {
        mTime = new ManualClock();
        mPort = new FakePort();
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        RestartAwarePort port = new RestartAwarePort(mPort);
        mDirectory.addListener(port::retain);
        mPeers = new PeerLoads();
        TestContext context = new TestContext(mTime);
        context.mPort = port;
        context.mDirectory = mDirectory;
        context.mPeers = mPeers;
        context.mSettings = load;
        context.mExtraCallBudget = new ExtraCallBudget(0, 1, 10_000);
        mContext = context.build();
    }

    /**
     * Starts a stream with time-outs by load at engines that prefill 50 tokens a millisecond.
     *
     * @return the prefill engine that was called first, and the other one
     */
    private List<UpstreamEntry> prefill(LoadSettings load) {
        setUp(load);
        for (int reading = 0; reading < 3; reading++) {
            mContext.demandMeter().recordPrefill("service", 5000, 100, mTime.millis());
        }
        mContext.demandMeter().publish(mTime.millis());
        UpstreamEntry p = TestUpstreams.prefill("p");
        UpstreamEntry q = TestUpstreams.prefill("q");
        mDirectory.replaceAll(List.of(p, q, TestUpstreams.decode("a")));
        ServingRequest request =
                new ServingRequest(
                        new RequestId("abc"),
                        "POST",
                        "/x",
                        "h",
                        new DefaultHttpHeaders(),
                        new byte[0],
                        9000,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(
                                new PromptMetadata(
                                        "m",
                                        1000,
                                        500,
                                        List.of(new PromptMetadata.Part("own", 1000)))),
                        Optional.empty(),
                        new Requester.Unchecked());
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.STREAM,
                        5000,
                        900,
                        300,
                        1,
                        1,
                        List.of(new Route.WeightedService("service", 1)),
                        false);
        new StreamExecution(
                        mContext,
                        request,
                        route,
                        "service",
                        Optional.of(new EngineTraits(10, 90_000, 4, 2000, 500, 100)),
                        new FakeCaller())
                .begin();
        return mContext.loads().ownCalls(p) > 0 ? List.of(p, q) : List.of(q, p);
    }

    /** Has another router report what it has queued, and one prefill that was answered. */
    private void reportQueued(UpstreamEntry engine, long tokens, boolean answered) {
        PaceReport pace = answered ? new PaceReport(1, 0, 1, 0) : PaceReport.NONE;
        mPeers.update(
                new Incarnation("peer" + engine.id() + "~1"),
                TestUpstreams.HALL,
                ReportScope.OWN,
                new LoadReport(
                        1,
                        1,
                        false,
                        0,
                        Set.of(),
                        Set.of(),
                        Map.of(engine.incarnation(), UpstreamUsage.of(4, tokens)),
                        Map.of(),
                        UsageReport.NONE,
                        Map.of(),
                        WaitingReport.NONE,
                        Map.of(engine.incarnation(), pace)),
                mTime.millis());
        mPeers.aggregate(mTime.millis());
    }

    @Test
    public void aQueueThatHasGrownIsNotTakenForASilentEngine() {
        UpstreamEntry engine = prefill(BY_LOAD).get(0);
        mTime.advance(100);
        reportQueued(engine, 20_000, false);
        mTime.advance(700);
        assertEquals(mPort.mPrefills.size(), 1);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(engine, "handle"));
        assertEquals(mPort.mRuns.size(), 1);
        assertTrue(mPort.mRuns.get(0).mPlan.prompt().isPresent());
    }

    @Test
    public void anEngineThatAnswersOthersIsNotSilent() {
        UpstreamEntry engine = prefill(BY_LOAD).get(0);
        mTime.advance(350);
        reportQueued(engine, 0, true);
        mTime.advance(150);
        assertEquals(mPort.mPrefills.size(), 1);
        mTime.advance(400);
        assertEquals(mPort.mPrefills.size(), 2, "no answer for another 400 ms");
    }

    @Test
    public void aSilentEngineIsToldToStopOnceAnotherHasPrefilled() {
        UpstreamEntry other = prefill(BY_LOAD).get(1);
        mTime.advance(ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS + 1);
        assertEquals(mPort.mPrefills.size(), 2);
        assertFalse(mPort.mPrefillCalls.get(0).mAborted);
        assertNotEquals(mPort.mPrefillCalls.get(0).mUpstream, mPort.mPrefillCalls.get(1).mUpstream);
        mPort.mPrefills.get(1).onResult(new UpstreamPort.StoredPrompt(other, "handle"));
        assertTrue(mPort.mPrefillCalls.get(0).mAborted);
        assertEquals(mPort.mRuns.size(), 1);
    }

    @Test
    public void aPromptIsNotPrefilledAgainWhereItWouldBeLate() {
        UpstreamEntry other = prefill(BY_LOAD).get(1);
        reportQueued(other, 40_000, false);
        mTime.advance(1300);
        assertEquals(mPort.mPrefills.size(), 1);
        mTime.advance(ServingSettings.MAX_PREFILL_MILLIS);
        assertEquals(mPort.mPrefills.size(), 2, "the longest time-out remains");
    }

    @Test
    public void anUnansweredPrefillIsMeasuredOnceItIsOverdue() {
        List<UpstreamEntry> engines = prefill(BY_LOAD);
        PaceEstimate paces = mContext.loads().paces();
        paces.record(engines.get(1), 100, 100, 1);
        mTime.advance(39);
        assertEquals(paces.statuses(engines).get(0).here(), 0.0);
        mTime.advance(2);
        assertTrue(paces.statuses(engines).get(0).here() > 1, "twice the prediction of 20 ms");
    }

    @Test
    public void withoutTheSettingTheTimeOutFollowsTheQueueKnownAtTheStart() {
        UpstreamEntry engine = prefill(LoadSettings.DEFAULT).get(0);
        mTime.advance(100);
        reportQueued(engine, 20_000, true);
        mTime.advance(ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS - 99);
        assertEquals(mPort.mPrefills.size(), 2);
    }
}
