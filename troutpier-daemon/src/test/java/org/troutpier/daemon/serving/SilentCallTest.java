package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.extracall.ExtraCallBudget;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.plain.SilentCalls;
import org.troutpier.daemon.quarantine.Quarantine;
import org.troutpier.daemon.quarantine.QuarantineSettings;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/** Plain calls whose upstream pauses before its answer or within it, or never goes on. */
public final class SilentCallTest {

    private static final int TARGET_MILLIS = 300;

    private static final int TIMEOUT_MILLIS = 8000;

    /** By when a second call is sent: twice the target. */
    private static final int SECOND_MILLIS = 2 * TARGET_MILLIS + 1;

    /** One request at a router, with the upstreams of its service. */
    private static final class Service {

        final ManualClock mTime = new ManualClock();
        final PausingUpstreams mPort = new PausingUpstreams(mTime);
        final FakeCaller mCaller = new FakeCaller();
        final Quarantine mQuarantine;
        final ServingContext mContext;
        private final TestContext mSetup = new TestContext(mTime);
        private PlainExecution mExecution;

        Service(int upstreams, boolean plainQueue) {
            mSetup.mPort = mPort;
            mSetup.mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
            mSetup.mDirectory.replaceAll(
                    IntStream.range(0, upstreams)
                            .mapToObj(number -> TestUpstreams.plain("u" + number, "hall-a"))
                            .toList());
            mSetup.mSettings = new LoadSettings(false, false, false, plainQueue, false);
            mQuarantine =
                    new Quarantine(QuarantineSettings.DEFAULT, mTime::millis, mSetup.mMetrics);
            mSetup.mQuarantine = mQuarantine;
            mContext = mSetup.build();
            mContext.extraCallBudget().setLimits(0, 10);
            mPort.mPauseMillis = PausingUpstreams.FOREVER;
        }

        Service call(Route.Kind kind, int attempts) {
            Route route =
                    new Route(
                            "r",
                            "h",
                            "/",
                            kind,
                            TIMEOUT_MILLIS,
                            TARGET_MILLIS,
                            0,
                            1,
                            attempts,
                            List.of(new Route.WeightedService("service", 1)),
                            false);
            mExecution =
                    new PlainExecution(
                            mContext,
                            TestRequests.of("abc", "/x", new byte[0], Optional.empty()),
                            route,
                            "service",
                            mCaller);
            mExecution.begin();
            return this;
        }

        /** Sends a repeatable call with two attempts until a second call was considered. */
        Service callUntilSilent() {
            call(Route.Kind.REPEATABLE, 2);
            mTime.advance(SECOND_MILLIS);
            return this;
        }

        FakePort.Sent run(int index) {
            return mPort.mRuns.get(index);
        }

        String steps() {
            return mExecution.trace().steps();
        }

        int failures() {
            return mContext.loads().usage().values().stream().mapToInt(use -> use.failed()).sum();
        }

        /** Asserts that the request has ended with one answer, and that each begin had its end. */
        void assertEnded(int answers) {
            assertEquals(mCaller.mAnswers, answers, steps());
            mSetup.mDirectory
                    .usable("service")
                    .forEach(each -> assertEquals(mContext.loads().ownCalls(each), 0, steps()));
            SilentCalls counters = mContext.plainCalls().silentCalls();
            assertEquals(
                    counters.continued().getCount()
                            + counters.replaced().getCount()
                            + counters.ended().getCount(),
                    counters.begun().getCount(),
                    steps());
        }
    }

    @DataProvider
    Object[][] queues() {
        return new Object[][] {{false}, {true}};
    }

    private static Optional<String> broken(Service service, String name) {
        service.call(Route.Kind.REPEATABLE, 2);
        service.mTime.advance(TIMEOUT_MILLIS - 100);
        FakeCaller caller = service.mCaller;
        boolean whole =
                service.mPort.mRuns.stream()
                        .anyMatch(
                                run ->
                                        caller.text()
                                                .equals(
                                                        "whole answer of "
                                                                + run.mUpstream.id().value()));
        if (caller.mStatus != 200 || !whole) {
            return Optional.of(name + ": " + caller.mRefusal + service.steps());
        }
        service.assertEnded(1);
        return Optional.empty();
    }

    @Test(dataProvider = "queues")
    public void anAnswerIsNotLostWhileItsUpstreamPauses(boolean plainQueue) {
        List<String> broken = new ArrayList<>();
        for (PausingUpstreams.Further further : PausingUpstreams.Further.values()) {
            for (long pause : new long[] {800, 1300, 1800, 3000}) {
                for (int extraCalls : new int[] {0, 10}) {
                    for (boolean withinBody : new boolean[] {false, true}) {
                        Service service = new Service(4, plainQueue);
                        service.mPort.mPauseMillis = withinBody ? 0 : pause;
                        service.mPort.mBodyPauseMillis = withinBody ? pause : 0;
                        service.mPort.mFurther = further;
                        service.mContext.extraCallBudget().setLimits(0, extraCalls);
                        broken(service, further + " " + pause + " " + extraCalls)
                                .ifPresent(broken::add);
                    }
                }
            }
        }
        assertTrue(broken.isEmpty(), broken.size() + " broken, such as " + broken);
    }

    @Test(dataProvider = "queues")
    public void aCallThatIsNeverAnsweredIsReplaced(boolean plainQueue) {
        Service service = new Service(2, plainQueue).call(Route.Kind.REPEATABLE, 2);
        service.mTime.advance(plainQueue ? TARGET_MILLIS - 15 : SECOND_MILLIS);
        assertEquals(service.mPort.mRuns.size(), 2);
        assertFalse(service.run(0).mAborted);
        service.mTime.advance(20);
        assertEquals(service.mCaller.mStatus, 200);
        assertTrue(service.run(0).mAborted);
        service.assertEnded(1);
        assertEquals(service.mContext.plainCalls().silentCalls().replaced().getCount(), 1);
        String first = service.run(0).mUpstream.id().value();
        String second = service.run(1).mUpstream.id().value();
        assertTrue(service.steps().contains("silent@" + first + " for"), service.steps());
        assertTrue(
                service.steps().contains("answered@" + second + " replaced@" + first + " silent"),
                service.steps());
    }

    @Test
    public void anUpstreamThatGoesOnFirstIsTheAnswer() {
        Service service = new Service(2, true);
        service.mPort.mPauseMillis = 800;
        service.mPort.mFurther = PausingUpstreams.Further.NEVER_ANSWERED;
        service.callUntilSilent();
        service.mTime.advance(800);
        assertTrue(service.run(1).mAborted);
        service.assertEnded(1);
        assertEquals(service.mContext.plainCalls().silentCalls().continued().getCount(), 1);
        String first = service.run(0).mUpstream.id().value();
        assertTrue(
                service.steps().contains("continued@" + first + " silent for up to 810ms"),
                service.steps());
    }

    @Test
    public void aRequestFailsOnlyWhenBothItsCallsHave() {
        Service service = new Service(2, true);
        service.mPort.mFurther = PausingUpstreams.Further.REFUSED;
        service.callUntilSilent();
        service.mContext.extraCallBudget().setLimits(0, 0);
        service.mTime.advance(500);
        assertEquals(service.mCaller.mAnswers, 0);
        service.run(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertEquals(service.mCaller.mRefusal, ResultCode.OUTCOME_UNKNOWN);
        service.assertEnded(1);
    }

    @Test
    public void aRequestThatBothUpstreamsRefuseIsRefusedAsNotRun() {
        Service service = new Service(2, false);
        service.mPort.mFurther = PausingUpstreams.Further.REFUSED;
        service.callUntilSilent();
        service.mTime.advance(100);
        PausingUpstreams.answer(service.run(0), 503, UpstreamPort.Verdict.NOT_STARTED);
        assertEquals(service.mCaller.mRefusal.family(), ResultCode.Family.NOT_RUN);
        service.assertEnded(1);
    }

    @Test
    public void aFailureOfAnUpstreamIsSentWhenNoOtherCallIsLeft() {
        Service service = new Service(2, true);
        service.mPort.mFurther = PausingUpstreams.Further.FAILED;
        service.callUntilSilent();
        service.mTime.advance(100);
        assertEquals(service.mCaller.mAnswers, 0);
        service.run(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertEquals(service.mCaller.mStatus, 500);
        service.assertEnded(1);
    }

    @Test
    public void bothCallsEndWithTheirCaller() {
        Service service = new Service(2, true);
        service.mPort.mFurther = PausingUpstreams.Further.NEVER_ANSWERED;
        service.callUntilSilent().mCaller.disconnect();
        assertTrue(service.run(0).mAborted && service.run(1).mAborted);
        service.assertEnded(0);
    }

    @Test
    public void bothCallsEndAtTheDeadlineAsRunning() {
        Service service = new Service(2, true);
        service.mPort.mFurther = PausingUpstreams.Further.NEVER_ANSWERED;
        service.callUntilSilent();
        service.mTime.advance(TIMEOUT_MILLIS);
        assertEquals(service.mCaller.mRefusal, ResultCode.DEADLINE_WHILE_RUNNING);
        assertTrue(service.run(0).mAborted && service.run(1).mAborted);
        service.assertEnded(1);
    }

    @Test(dataProvider = "queues")
    public void silenceIsNoCrash(boolean plainQueue) {
        Service service = new Service(2, plainQueue);
        service.mPort.mOnCheck =
                listener -> listener.accept(UpstreamPort.ProbeResult.NOT_LISTENING);
        service.callUntilSilent();
        service.mTime.advance(500);
        assertEquals(service.mCaller.mStatus, 200);
        assertTrue(service.mQuarantine.isEmpty());
    }

    @Test
    public void aLostCallIsExplainedBeforeAThirdUpstreamIsUsed() {
        Service service = new Service(3, true);
        service.mPort.mFurther = PausingUpstreams.Further.LOST;
        service.mPort.mOnCheck = listener -> {};
        service.call(Route.Kind.REPEATABLE, 3);
        service.mTime.advance(TARGET_MILLIS);
        service.mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS / 2);
        assertEquals(service.mPort.mRuns.size(), 2);
        service.run(0).mListener.onFailure(AttemptEnd.refused(false, "full"));
        assertEquals(service.mPort.mRuns.size(), 2);
        service.mPort.mFurther = PausingUpstreams.Further.ANSWERED;
        service.mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(service.mPort.mRuns.size(), 3);
        service.assertEnded(1);
    }

    @Test
    public void aSilenceThatIsFoundWhileALostCallIsExplainedStartsNoThirdCall() {
        Service service = new Service(3, false);
        service.mPort.mFurther = PausingUpstreams.Further.NEVER_ANSWERED;
        service.mPort.mOnCheck = listener -> {};
        service.call(Route.Kind.REPEATABLE, 3);
        service.mTime.advance(2 * SECOND_MILLIS - 10);
        service.run(0).mListener.onFailure(AttemptEnd.lost("reset"));
        service.mTime.advance(20);
        assertTrue(service.run(1).mListener instanceof PlainAttempt run && run.isSilent());
        assertEquals(service.mPort.mRuns.size(), 2);
        service.mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(service.mPort.mRuns.size(), 3);
    }

    @Test
    public void anUpstreamThatIsAnotherOneIsNoAttempt() {
        Service service = new Service(3, true);
        service.mPort.mFurther = PausingUpstreams.Further.RECEIVED_BY_ANOTHER_UPSTREAM;
        service.call(Route.Kind.REPEATABLE, 2);
        service.mTime.advance(TARGET_MILLIS - 15);
        service.mPort.mFurther = PausingUpstreams.Further.ANSWERED;
        service.mTime.advance(SECOND_MILLIS);
        assertEquals(service.mPort.mRuns.size(), 3);
        assertEquals(service.mCaller.mStatus, 200);
        service.assertEnded(1);
    }

    @Test
    public void anExtraCallThatReachedNoUpstreamIsNotCounted() {
        Service service = new Service(3, false);
        service.mPort.mFurther = PausingUpstreams.Further.UNREACHED;
        service.mContext.extraCallBudget().setLimits(0, 1);
        service.callUntilSilent();
        service.mPort.mFurther = PausingUpstreams.Further.NEVER_ANSWERED;
        service.mTime.advance(100);
        assertEquals(service.mPort.mRuns.size(), 3);
        service.mCaller.disconnect();
        service.assertEnded(0);
        ExtraCallBudget.Usage usage =
                service.mContext.extraCallBudget().usage("service", service.mTime.millis());
        assertEquals(usage.extraCalls(), 1);
    }

    @Test
    public void anUpstreamThatTurnedTheSecondCallAwayIsSentItOnceMore() {
        Service service = new Service(2, true);
        service.mPort.mFurther = PausingUpstreams.Further.REFUSED;
        service.call(Route.Kind.REPEATABLE, 2);
        service.mTime.advance(TARGET_MILLIS);
        assertEquals(service.mPort.mRuns.size(), 2);
        service.mTime.advance(TIMEOUT_MILLIS);
        assertEquals(service.mPort.mRuns.size(), 3);
        assertEquals(service.run(2).mUpstream, service.run(1).mUpstream);
        assertEquals(service.mCaller.mRefusal, ResultCode.DEADLINE_WHILE_RUNNING);
    }

    @Test
    public void atMostTwoCallsAreInProgress() {
        Service service = new Service(4, false);
        service.mPort.mFurther = PausingUpstreams.Further.NEVER_ANSWERED;
        service.call(Route.Kind.REPEATABLE, 4);
        service.mTime.advance(TIMEOUT_MILLIS / 2);
        assertEquals(service.mPort.mRuns.size(), 2);
        assertTrue(service.steps().contains("no second call(two in progress)"), service.steps());
    }

    @Test
    public void aSearchGoesOnUntilAnExtraCallIsLeft() {
        Service service = new Service(2, true);
        service.mContext.extraCallBudget().setLimits(0, 0);
        service.callUntilSilent();
        service.mTime.advance(1000);
        assertEquals(service.mPort.mRuns.size(), 1);
        assertTrue(service.steps().contains("no second call(budget"), service.steps());
        service.mContext.extraCallBudget().setLimits(0, 1);
        service.mTime.advance(1000);
        assertEquals(service.mCaller.mStatus, 200);
    }

    @Test(dataProvider = "queues")
    public void onlyAnUpstreamPastTheLimitCountsAsFailed(boolean plainQueue) {
        Service service = new Service(2, plainQueue).callUntilSilent();
        assertEquals(service.failures(), plainQueue ? 0 : 1, "in time with the queue");
    }

    @Test
    public void anUpstreamThatStillSendsDoesNotCountAsFailed() {
        Service service = new Service(2, false);
        service.mPort.mPauseMillis = SECOND_MILLIS - TARGET_MILLIS / 2;
        service.mPort.mBodyPauseMillis = PausingUpstreams.FOREVER;
        service.callUntilSilent();
        assertEquals(service.mPort.mRuns.size(), 2);
        assertEquals(service.failures(), 0);
    }

    @Test(dataProvider = "queues")
    public void withoutAFurtherAttemptOnlyOneCallIsSent(boolean plainQueue) {
        for (Route.Kind kind : List.of(Route.Kind.ONCE, Route.Kind.REPEATABLE)) {
            Service service = new Service(2, plainQueue).call(kind, 1);
            service.mTime.advance(TIMEOUT_MILLIS - 1);
            assertEquals(service.mPort.mRuns.size(), 1);
            assertFalse(service.run(0).mAborted);
            assertNull(service.mCaller.mRefusal);
            assertFalse(service.steps().contains("silent"), service.steps());
            assertEquals(service.mContext.plainCalls().silentCalls().begun().getCount(), 0);
        }
    }
}
