package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.notice.AnnouncedRate;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.quarantine.RequestFingerprint;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;
import org.troutpier.daemon.waiting.WaitingOrder;

/** Executions whose upstreams fail, leave, restart or refuse work. */
public final class ExecutionTest {

    private ManualClock mTime;
    private FakePort mPort;
    private FakeCaller mCaller;
    private boolean mFramed;
    private UpstreamDirectory mDirectory;
    private TestContext mSetup;
    private ServingContext mContext;
    private Quarantine mQuarantine;

    private Requester mRequester;

    /** The decisions that wait for a fresh load view; null where the view is always fresh. */
    private List<Runnable> mDeferredDecisions;

    @BeforeMethod
    void setUp() {
        mTime = new ManualClock();
        mPort = new FakePort();
        mCaller = new FakeCaller();
        mFramed = true;
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        RestartAwarePort port = new RestartAwarePort(mPort);
        mDirectory.addListener(port::retain);
        mRequester = new Requester.Unchecked();
        mDeferredDecisions = null;
        mSetup = new TestContext(mTime);
        mSetup.mPort = port;
        mSetup.mDirectory = mDirectory;
        mSetup.mView = this::decideOrDefer;
        mQuarantine = new Quarantine(QuarantineSettings.DEFAULT, mTime::millis, mSetup.mMetrics);
        mSetup.mQuarantine = mQuarantine;
        mContext = mSetup.build();
    }

    private void decideOrDefer(Runnable decision) {
        if (mDeferredDecisions == null) {
            decision.run();
        } else {
            mDeferredDecisions.add(decision);
        }
    }

    private static Route route(Route.Kind kind, int attempts) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                5000,
                900,
                300,
                1,
                attempts,
                List.of(new Route.WeightedService("service", 1)),
                false);
    }

    private ServingRequest request() {
        PromptMetadata prompt =
                new PromptMetadata("m", 1000, 500, List.of(new PromptMetadata.Part("own", 1000)));
        return TestRequests.of("abc", "/x", new byte[0], Optional.of(prompt))
                .withRequester(mRequester);
    }

    /**
     * Asserts that no calls and tokens are recorded at any upstream; outcomes of past calls may
     * remain.
     */
    private void assertNothingHeld() {
        mContext.loads()
                .usage()
                .forEach(
                        (upstream, use) -> {
                            assertEquals(use.calls(), 0, upstream.toString());
                            assertEquals(use.tokens(), 0, upstream.toString());
                        });
    }

    private void stream() {
        stream(Route.Kind.STREAM);
    }

    private void stream(Route.Kind kind) {
        stream(kind, 1);
    }

    private void stream(Route.Kind kind, int attempts) {
        new StreamExecution(
                        mContext,
                        request(),
                        route(kind, attempts),
                        "service",
                        Optional.of(new EngineTraits(10, 90_000, 4, 2000, 500, 100)),
                        mCaller)
                .begin();
    }

    private void plain() {
        new PlainExecution(mContext, request(), route(Route.Kind.ONCE, 1), "service", mCaller)
                .begin();
    }

    private UpstreamPort.Head head(UpstreamPort.Verdict verdict) {
        return new UpstreamPort.Head(200, new DefaultHttpHeaders(), verdict, mFramed);
    }

    @Test
    public void storedPromptIsUsedAtAnotherEngineIfTheFirstIsUnreachable() {
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(
                List.of(prefill, TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream();
        UpstreamPort.StoredPrompt prompt = new UpstreamPort.StoredPrompt(prefill, "handle");
        mPort.mPrefills.get(0).onResult(prompt);
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.unreached("refused"));
        assertEquals(mPort.mPrefills.size(), 1);
        assertEquals(mPort.mRuns.size(), 2);
        assertEquals(mPort.mRuns.get(1).mPlan.prompt(), Optional.of(prompt));
        assertNotEquals(mPort.mRuns.get(0).mUpstream, mPort.mRuns.get(1).mUpstream);
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void silentPrefillTimesOutByItsPredictedDuration() {
        mContext.extraCallBudget().setLimits(0, 1);
        for (int reading = 0; reading < 3; reading++) {
            mContext.demandMeter().recordPrefill("service", 5000, 100, mTime.millis());
        }
        mContext.demandMeter().publish(mTime.millis());
        mDirectory.replaceAll(
                List.of(
                        TestUpstreams.prefill("p"),
                        TestUpstreams.prefill("q"),
                        TestUpstreams.decode("a")));
        stream();
        assertEquals(mPort.mPrefills.size(), 1);
        mTime.advance(ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS - 1);
        assertEquals(mPort.mPrefills.size(), 1);
        mTime.advance(2);
        assertEquals(mPort.mPrefills.size(), 2);
    }

    @Test
    public void lostPrefillIsLeftToTheDecodeEngineWhereNoOtherPrefillEngineIsLeft() {
        mContext.extraCallBudget().setLimits(0, 1);
        mDirectory.replaceAll(List.of(TestUpstreams.prefill("p"), TestUpstreams.decode("a")));
        stream();
        mPort.mPrefills.get(0).onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mPrefills.size(), 1);
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mPort.mRuns.get(0).mPlan.prompt(), Optional.empty());
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void requestWhosePrefillWasLostIsRefusedAsNotRunWhenNoExtraCallIsLeft() {
        mDirectory.replaceAll(
                List.of(
                        TestUpstreams.prefill("p"),
                        TestUpstreams.prefill("q"),
                        TestUpstreams.decode("a")));
        stream();
        mPort.mPrefills.get(0).onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mPrefills.size(), 1);
        assertEquals(mPort.mRuns.size(), 0);
        assertEquals(mCaller.mRefusal, ResultCode.UPSTREAMS_REFUSED);
        assertTrue(mCaller.mRetryAfterMillis > 0);
        mTime.advance(1000);
        assertNothingHeld();
    }

    @Test
    public void lastPermitIsKeptForTheRunWhereASecondPrefillWouldCount() {
        mContext.extraCallBudget().setLimits(0, 1);
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(
                List.of(prefill, TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM, 2);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        mPort.mRuns.get(0).mListener.onHead(head(UpstreamPort.Verdict.NOT_STARTED));
        mPort.mRuns.get(0).mListener.onEnd();
        assertEquals(mPort.mPrefills.size(), 1);
        assertEquals(mPort.mRuns.size(), 2);
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void unusedStoredPromptIsDiscarded() {
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(List.of(prefill, TestUpstreams.decode("a")));
        stream();
        UpstreamPort.StoredPrompt prompt = new UpstreamPort.StoredPrompt(prefill, "handle");
        mPort.mPrefills.get(0).onResult(prompt);
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.unreached("refused"));
        mTime.advance(1000);
        assertEquals(mPort.mDiscarded, List.of(prompt));
        assertEquals(mCaller.mRefusal, ResultCode.NO_PLACE);
        assertTrue(mCaller.mRetryAfterMillis > 0);
    }

    @Test
    public void replacedEngineIsNoAttemptAndItsStoredPromptIsReused() {
        mContext.extraCallBudget().setLimits(0, 1);
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(
                List.of(prefill, TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream();
        UpstreamPort.StoredPrompt prompt = new UpstreamPort.StoredPrompt(prefill, "handle");
        mPort.mPrefills.get(0).onResult(prompt);
        mPort.mRuns.get(0).mListener.onHead(head(UpstreamPort.Verdict.OTHER_UPSTREAM));
        mPort.mRuns.get(0).mListener.onEnd();
        assertEquals(mPort.mPrefills.size(), 1);
        assertEquals(mPort.mRuns.size(), 2);
        assertEquals(mPort.mRuns.get(1).mPlan.prompt(), Optional.of(prompt));
        assertTrue(mPort.mDiscarded.isEmpty());
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void theNextCallAfterAReplacedEngineIsExtra() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream();
        mPort.mRuns.get(0).mListener.onHead(head(UpstreamPort.Verdict.OTHER_UPSTREAM));
        mPort.mRuns.get(0).mListener.onEnd();
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mCaller.mRefusal.family(), ResultCode.Family.NOT_RUN);
    }

    @Test
    public void possiblyStartedRunIsNeverRetried() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream();
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mCaller.mRefusal, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void lostRunIsResumedAtTheEngineThatHasItsPrompt() {
        mContext.extraCallBudget().setLimits(0, 10);
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(
                List.of(prefill, TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        run.onPart("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        run.onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mRuns.size(), 2);
        assertEquals(mPort.mRuns.get(1).mUpstream, mPort.mRuns.get(0).mUpstream);
        assertEquals(mPort.mRuns.get(1).mPlan.prompt(), Optional.empty());
        assertEquals(mPort.mRuns.get(1).mPlan.resumeAfter(), OptionalLong.of(1));
        assertEquals(mPort.mPrefills.size(), 1);
    }

    @Test
    public void aStreamThatEndsInsideAnEventIsRecordedAsACrashOfItsEngine() {
        mPort.mOnCheck = probe -> probe.accept(UpstreamPort.ProbeResult.NOT_LISTENING);
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a")));
        stream();
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        run.onPart("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
        run.onEnd();
        assertEquals(mQuarantine.records().size(), 1);
        assertTrue(mCaller.mAborted);
    }

    /**
     * Runs the request to its end, and returns whether an earlier crash counts against it still.
     */
    private boolean isSuspectedAfterAnswer(boolean framed) {
        RequestFingerprint content = RequestFingerprint.of("h", "/x", new byte[0]);
        mQuarantine.recordCrash(List.of(content), UpstreamIncarnation.of("another"));
        mFramed = framed;
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a")));
        stream();
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        run.onPart("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        run.onEnd();
        return mQuarantine.crashCount(content) > 0;
    }

    @Test
    public void aCompletedAnswerClearsItsRequest() {
        assertFalse(isSuspectedAfterAnswer(true));
    }

    @Test
    public void anAnswerThatEndsWithItsConnectionDoesNotClearItsRequest() {
        assertTrue(isSuspectedAfterAnswer(false));
    }

    @Test
    public void resumedStreamReservesMemoryForItsEarlierOutput() {
        mContext.extraCallBudget().setLimits(0, 10);
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM);
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        for (int event = 1; event <= 10; event++) {
            run.onPart(("id: " + event + "\ndata: a\n\n").getBytes(StandardCharsets.UTF_8));
        }
        long used = mContext.loads().tokens(mPort.mRuns.get(0).mUpstream);
        run.onFailure(AttemptEnd.lost("reset"));
        assertEquals(used, 1040);
        assertTrue(mPort.mReserveTokens.get(1) >= used, "asked " + mPort.mReserveTokens);
        assertEquals(mContext.loads().tokens(mPort.mRuns.get(1).mUpstream), used);
    }

    @Test
    public void promptOfASilentEngineIsPrefilledAgainWhileItsRunGoesOn() {
        mContext.extraCallBudget().setLimits(0, 10);
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(
                List.of(prefill, TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM, 2);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mPort.mPrefills.size(), 2);
        mPort.mPrefills.get(1).onResult(new UpstreamPort.StoredPrompt(prefill, "other"));
        assertNotEquals(mPort.mRuns.get(1).mUpstream, mPort.mRuns.get(0).mUpstream);
        assertFalse(mPort.mRuns.get(0).mAborted);
        UpstreamPort.RunListener second = mPort.mRuns.get(1).mListener;
        second.onHead(head(UpstreamPort.Verdict.SUCCESS));
        assertFalse(mPort.mRuns.get(0).mAborted);
        second.onPart("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        assertTrue(mPort.mRuns.get(0).mAborted);
        second.onEnd();
        assertTrue(mCaller.mEnded);
        assertNothingHeld();
    }

    @Test
    public void resumesAtAnEngineThatLosesEveryAnswerAreLimited() {
        mContext.extraCallBudget().setLimits(0, 10);
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM);
        for (int run = 0; run <= ResumeTarget.MAX_RESUMES; run++) {
            mPort.mRuns.get(run).mListener.onFailure(AttemptEnd.lost("reset"));
        }
        assertEquals(mPort.mRuns.size(), ResumeTarget.MAX_RESUMES + 1);
        assertEquals(mCaller.mRefusal, ResultCode.OUTCOME_UNKNOWN);
        assertNothingHeld();
    }

    @Test
    public void aStreamThatFewEnginesCanContinueDoesNotWaitBehindNewOnes() {
        mSetup.mOrder = new WaitingOrder.Alone(true);
        mContext = mSetup.build();
        mContext.extraCallBudget().setLimits(0, 10);
        UpstreamEntry first = TestUpstreams.decode("a", "v1");
        UpstreamEntry second = TestUpstreams.decode("b", "v1");
        mDirectory.replaceAll(List.of(first));
        stream(Route.Kind.RESUMABLE_STREAM, 2);
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        run.onPart("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        mDirectory.replaceAll(List.of(first, second, TestUpstreams.decode("c", "v2")));
        mPort.mFullEngines.add(second.incarnation());
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        assertEquals(Set.copyOf(mPort.mReserveCalls), Set.of(first, second));
        assertEquals(
                mContext.reservations().waitingReport().entries().get(0).tier(), QueueTier.IN_TIME);
    }

    @Test
    public void lostRunIsNotResumedWithoutAnExtraCall() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM);
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mCaller.mRefusal, ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void lostRunThatCannotBeResumedEndsWithOutcomeUnknown() {
        mContext.extraCallBudget().setLimits(0, 10);
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a")));
        stream(Route.Kind.RESUMABLE_STREAM);
        mPort.mFullEngines.add(TestUpstreams.decode("a").incarnation());
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mCaller.mRefusal, ResultCode.OUTCOME_UNKNOWN);
        assertNothingHeld();
    }

    @Test
    public void anUpstreamThatCannotBeReachedIsNoAttempt() {
        mDirectory.replaceAll(
                List.of(TestUpstreams.plain("a", "hall-a"), TestUpstreams.plain("b", "hall-a")));
        plain();
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.unreached("refused"));
        assertEquals(mPort.mRuns.size(), 2);
        mPort.mRuns.get(1).mListener.onHead(head(UpstreamPort.Verdict.SUCCESS));
        mPort.mRuns.get(1).mListener.onPart("ok".getBytes(StandardCharsets.UTF_8));
        mPort.mRuns.get(1).mListener.onEnd();
        assertEquals(mCaller.text(), "ok");
        assertEquals(mCaller.mAnswers, 1);
    }

    @Test
    public void provenRefusalIsAnAttemptAndReportedAsNotRun() {
        mDirectory.replaceAll(
                List.of(TestUpstreams.plain("a", "hall-a"), TestUpstreams.plain("b", "hall-a")));
        plain();
        mPort.mRuns.get(0).mListener.onHead(head(UpstreamPort.Verdict.NOT_STARTED));
        mPort.mRuns.get(0).mListener.onEnd();
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mCaller.mRefusal.family(), ResultCode.Family.NOT_RUN);
    }

    @Test
    public void callerDisconnectAbortsTheRunAndFreesMemory() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a")));
        stream();
        assertEquals(mContext.loads().usage().size(), 1);
        mCaller.disconnect();
        assertTrue(mPort.mRuns.get(0).mAborted);
        assertNothingHeld();
    }

    @Test
    public void callerDisconnectBeforeAFreshLoadViewSendsNothing() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a"), TestUpstreams.plain("b", "hall")));
        mDeferredDecisions = new ArrayList<>();
        stream();
        mCaller.disconnect();
        plain();
        mCaller.disconnect();
        assertEquals(mDeferredDecisions.size(), 2);
        mDeferredDecisions.forEach(Runnable::run);
        assertTrue(mPort.mRuns.isEmpty());
        assertNothingHeld();
    }

    @Test
    public void deadlineBeforeAFreshLoadViewIsRefusedAsNotRun() {
        mDirectory.replaceAll(List.of(TestUpstreams.plain("b", "hall")));
        mDeferredDecisions = new ArrayList<>();
        plain();
        mTime.advance(10_000);
        assertEquals(mCaller.mRefusal, ResultCode.NO_PLACE);
        mDeferredDecisions.forEach(Runnable::run);
        assertTrue(mPort.mRuns.isEmpty());
    }

    @Test
    public void streamThatEndsInsideAnEventIsAborted() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a")));
        stream();
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        run.onPart("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
        run.onEnd();
        assertTrue(mCaller.mAborted);
        assertEquals(mCaller.text(), "id: 1\ndata: a\n\n");
        assertNothingHeld();
    }

    @Test
    public void extraCallSharesOfAllRoutersStayWithinTheBudget() {
        for (int routers = 1; routers < 200; routers++) {
            assertTrue(routers * ExtraCallBudget.routerShare(routers) <= 1, "routers " + routers);
            assertTrue(
                    (routers + 2) * ExtraCallBudget.routerShare(routers) <= 1, "late " + routers);
        }
    }

    private void restart(UpstreamEntry upstream) {
        UpstreamEntry later =
                TestUpstreams.startedAt(upstream, upstream.incarnation().startMillis() + 1);
        mDirectory.update(later.id(), Optional.of(later));
    }

    private static UpstreamEntry started(UpstreamEntry upstream) {
        return TestUpstreams.startedAt(upstream, 1_771_580_250_000L);
    }

    @Test
    public void onceOnlyRequestEndsWithOutcomeUnknownWhenItsUpstreamRestarts() {
        UpstreamEntry upstream = started(TestUpstreams.plain("a", "hall-a"));
        mDirectory.replaceAll(List.of(upstream, TestUpstreams.plain("b", "hall-a")));
        mDirectory.update(new UpstreamId("b"), Optional.empty());
        plain();
        restart(upstream);
        assertEquals(mCaller.mRefusal, ResultCode.OUTCOME_UNKNOWN);
        assertTrue(mPort.mRuns.get(0).mAborted);
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertEquals(mCaller.mAnswers, 1);
        assertNothingHeld();
    }

    @Test
    public void repeatableRequestIsRetriedWhenItsUpstreamRestarts() {
        mContext.extraCallBudget().setLimits(0, 10);
        UpstreamEntry upstream = started(TestUpstreams.plain("a", "hall-a"));
        mDirectory.replaceAll(List.of(upstream));
        new PlainExecution(mContext, request(), route(Route.Kind.REPEATABLE, 2), "service", mCaller)
                .begin();
        mDirectory.update(new UpstreamId("b"), Optional.of(TestUpstreams.plain("b", "hall-a")));
        restart(upstream);
        assertEquals(mPort.mRuns.size(), 2);
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void streamIsResumedWithANewPrefillWhenItsEngineRestarts() {
        mContext.extraCallBudget().setLimits(0, 10);
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        UpstreamEntry engine = started(TestUpstreams.decode("a"));
        mDirectory.replaceAll(List.of(prefill, engine));
        stream(Route.Kind.RESUMABLE_STREAM, 2);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(head(UpstreamPort.Verdict.SUCCESS));
        run.onPart("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        mDirectory.update(new UpstreamId("b"), Optional.of(TestUpstreams.decode("b")));
        restart(engine);
        mPort.mPrefills.get(1).onResult(new UpstreamPort.StoredPrompt(prefill, "other"));
        assertEquals(mPort.mRuns.size(), 2);
        assertEquals(mPort.mRuns.get(1).mPlan.resumeAfter(), OptionalLong.of(1));
        run.onPart("id: 2\ndata: late\n\n".getBytes(StandardCharsets.UTF_8));
        assertEquals(mCaller.text(), "id: 1\ndata: a\n\n");
    }

    @Test
    public void storedPromptOfARestartedEngineIsNotUsed() {
        mContext.extraCallBudget().setLimits(0, 10);
        UpstreamEntry prefill = started(TestUpstreams.prefill("p"));
        mDirectory.replaceAll(
                List.of(prefill, TestUpstreams.decode("a"), TestUpstreams.decode("b")));
        stream(Route.Kind.RESUMABLE_STREAM, 2);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        restart(prefill);
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.unreached("refused"));
        assertEquals(mPort.mPrefills.size(), 2);
    }

    @Test
    public void reportsOfAnEarlierStartAreIgnored() {
        UpstreamEntry upstream = started(TestUpstreams.plain("a", "hall-a"));
        mDirectory.replaceAll(List.of(upstream));
        plain();
        UpstreamEntry before =
                TestUpstreams.startedAt(upstream, upstream.incarnation().startMillis() - 1);
        mDirectory.update(before.id(), Optional.of(before));
        UpstreamEntry untold = TestUpstreams.plain("a", "hall-a");
        mDirectory.update(untold.id(), Optional.of(untold));
        assertNull(mCaller.mRefusal);
        assertEquals(mDirectory.usable("service"), List.of(upstream));
    }

    /**
     * Guards against a run that is sent to an engine which announced during the prefill that it
     * leaves: the prefill can take longer than the time for which a leaving upstream still accepts
     * new requests.
     */
    @Test
    public void runIsNotSentToAnEngineThatLeftDuringThePrefill() {
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(List.of(prefill, TestUpstreams.decode("a")));
        stream();
        mDirectory.replaceAll(List.of(prefill, TestUpstreams.decode("b")));
        UpstreamPort.StoredPrompt prompt = new UpstreamPort.StoredPrompt(prefill, "handle");
        mPort.mPrefills.get(0).onResult(prompt);
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mPort.mRuns.get(0).mUpstream, TestUpstreams.decode("b"));
        assertEquals(mPort.mRuns.get(0).mPlan.prompt(), Optional.of(prompt));
        assertEquals(mPort.mReleased, List.of("reservation at a"));
        assertEquals(mContext.loads().tokens(TestUpstreams.decode("a")), 0);
        assertEquals(mPort.mPrefills.size(), 1);
    }

    @Test
    public void requestIsRefusedWhenItsOnlyEngineLeftDuringThePrefill() {
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        mDirectory.replaceAll(List.of(prefill, TestUpstreams.decode("a")));
        stream();
        mDirectory.replaceAll(List.of(prefill));
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        assertEquals(mCaller.mRefusal, ResultCode.NO_PLACE);
        assertEquals(mPort.mDiscarded.size(), 1);
        assertNothingHeld();
    }

    /** Sends an upstream more calls than it accepts and has it announce its rate. */
    private void exhaustRate(UpstreamEntry upstream) {
        for (int call = 0; call < 20; call++) {
            mContext.admission()
                    .rates()
                    .tryAcquire(upstream, new FlowKey(0, FlowKey.NO_ORGANISATION));
        }
        mContext.admission()
                .rates()
                .recordAnnouncement(upstream, AnnouncedRate.of(1), UpstreamPort.Verdict.SUCCESS, 0);
    }

    private void repeatable() {
        new PlainExecution(mContext, request(), route(Route.Kind.REPEATABLE, 2), "service", mCaller)
                .begin();
    }

    @Test
    public void aRequestGoesToAnUpstreamThatIsNotAtItsRate() {
        UpstreamEntry limited = TestUpstreams.plain("limited", "hall-a");
        UpstreamEntry other = TestUpstreams.plain("other", "hall-b");
        mDirectory.replaceAll(List.of(limited, other));
        exhaustRate(limited);
        for (int call = 0; call < 5; call++) {
            plain();
        }
        assertTrue(mPort.mRuns.stream().allMatch(run -> run.mUpstream.equals(other)));
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void whereAllUpstreamsAreAtTheirRatesARequestIsRefusedAtOnce() {
        UpstreamEntry limited = TestUpstreams.plain("limited", "hall-a");
        mDirectory.replaceAll(List.of(limited));
        exhaustRate(limited);
        plain();
        assertEquals(mPort.mRuns.size(), 0);
        assertEquals(mCaller.mRefusal, ResultCode.UPSTREAM_RATE);
        assertTrue(mCaller.mRetryAfterMillis > 0, "returns in " + mCaller.mRetryAfterMillis);
        assertTrue(mCaller.mRetryAfterMillis <= 5000 / 3, "callers stay away a third of the time");
    }

    @Test
    public void aSilentCallIsKeptWhereTheOtherUpstreamIsAtItsRate() {
        UpstreamEntry silent = TestUpstreams.plain("silent", "hall-a");
        UpstreamEntry limited = TestUpstreams.plain("limited", "hall-b");
        mContext.extraCallBudget().setLimits(0, 1);
        mDirectory.replaceAll(List.of(silent, limited));
        exhaustRate(limited);
        repeatable();
        mTime.advance(1801);
        assertEquals(mPort.mRuns.size(), 1);
        assertTrue(!mPort.mRuns.get(0).mAborted);
        assertNull(mCaller.mRefusal);
    }

    @Test
    public void prefillEngineAtItsRateIsNotUsed() {
        UpstreamEntry limited = TestUpstreams.prefill("limited");
        mDirectory.replaceAll(List.of(limited, TestUpstreams.decode("d")));
        exhaustRate(limited);
        stream();
        assertEquals(mPort.mPrefills.size(), 0);
        assertEquals(mPort.mRuns.size(), 1, "the decode engine reads it");
    }
}
