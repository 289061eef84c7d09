package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/** Prompts whose prefill engine pauses, or never goes on. */
public final class SilentPrefillTest {

    private static final int TIMEOUT_MILLIS = 5000;

    private static final long SILENCE_MILLIS = ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS + 1;

    private final UpstreamEntry mP = TestUpstreams.prefill("p");
    private final UpstreamEntry mQ = TestUpstreams.prefill("q");
    private final UpstreamEntry mDecode = TestUpstreams.decode("a");
    private ManualClock mTime;
    private FakePort mPort;
    private UpstreamDirectory mDirectory;
    private MetricRegistry mMetrics;
    private ServingContext mContext;

    @BeforeMethod
    void setUp() {
        mTime = new ManualClock();
        use(new FakePort());
    }

    /** Serves with a port, at engines that are predicted to prefill 50 tokens a millisecond. */
    private void use(FakePort port) {
        mPort = port;
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        mMetrics = new MetricRegistry();
        RestartAwarePort restartAware = new RestartAwarePort(port);
        mDirectory.addListener(restartAware::retain);
        TestContext setup = new TestContext(mTime);
        setup.mPort = restartAware;
        setup.mDirectory = mDirectory;
        setup.mMetrics = mMetrics;
        mContext = setup.build();
        for (int reading = 0; reading < 3; reading++) {
            mContext.demandMeter().recordPrefill("service", 5000, 100, mTime.millis());
        }
        mContext.demandMeter().publish(mTime.millis());
    }

    private FakeCaller stream(String name) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.STREAM,
                        TIMEOUT_MILLIS,
                        900,
                        300,
                        1,
                        1,
                        List.of(new Route.WeightedService("service", 1)),
                        false);
        PromptMetadata prompt =
                new PromptMetadata("m", 1000, 500, List.of(new PromptMetadata.Part(name, 1000)));
        FakeCaller caller = new FakeCaller();
        new StreamExecution(
                        mContext,
                        TestRequests.of(name, "/x", new byte[0], Optional.of(prompt)),
                        route,
                        "service",
                        Optional.of(new EngineTraits(1000, 10_000_000, 4, 9000, 500, 100)),
                        caller)
                .begin();
        return caller;
    }

    /** Starts a stream whose first prefill is silent. */
    private FakeCaller silentStream(int extraCalls, UpstreamEntry... engines) {
        mContext.extraCallBudget().setLimits(0, extraCalls);
        mDirectory.replaceAll(List.of(engines));
        FakeCaller caller = stream("abc");
        mTime.advance(SILENCE_MILLIS);
        return caller;
    }

    private UpstreamPort.StoredPrompt answer(int prefill) {
        UpstreamPort.StoredPrompt prompt =
                new UpstreamPort.StoredPrompt(
                        mPort.mPrefillCalls.get(prefill).mUpstream, "handle " + prefill);
        mPort.mPrefills.get(prefill).onResult(prompt);
        return prompt;
    }

    private boolean aborted(int prefill) {
        return mPort.mPrefillCalls.get(prefill).mAborted;
    }

    private long count(String event) {
        return mMetrics.counter("prefills.silent." + event).getCount();
    }

    private void assertNoPrefillHeld() {
        assertEquals(mContext.loads().ownCalls(mP), 0);
        assertEquals(mContext.loads().ownCalls(mQ), 0);
        assertEquals(mContext.loads().tokens(mP), 0);
        assertEquals(mContext.loads().tokens(mQ), 0);
    }

    /** Returns callers that arrive every 50 ms, of which some find paused engines. */
    private List<FakeCaller> load(PausingPrefillEngines port, UpstreamEntry... engines) {
        List<UpstreamEntry> upstreams = new ArrayList<>(List.of(engines));
        upstreams.add(mDecode);
        mDirectory.replaceAll(upstreams);
        List<FakeCaller> callers = new ArrayList<>();
        for (int request = 0; request < 60; request++) {
            callers.add(stream("request-" + request));
            mTime.advance(50);
        }
        mTime.advance(TIMEOUT_MILLIS);
        assertFalse(port.mPrefills.isEmpty());
        return callers;
    }

    @Test
    public void allCallersAreServedWhileAllEnginesPauseForOverASecondWithoutExtraCalls() {
        PausingPrefillEngines port = new PausingPrefillEngines(mTime);
        use(port);
        long now = mTime.millis();
        port.pause(mP, now + 500, now + 1800);
        port.pause(mQ, now + 500, now + 1800);
        List<FakeCaller> callers = load(port, mP, mQ);
        assertEquals(callers.stream().filter(each -> !each.mEnded).count(), 0);
        assertTrue(count("continued") > 0);
        assertEquals(count("begun"), count("continued"));
        assertNoPrefillHeld();
    }

    @Test
    public void allCallersAreServedWhileOneOfTwoEnginesIsGone() {
        PausingPrefillEngines port = new PausingPrefillEngines(mTime);
        use(port);
        mContext.extraCallBudget().setLimits(0, 10);
        port.pause(mP, mTime.millis() + 500, PausingPrefillEngines.FOR_GOOD);
        List<FakeCaller> callers = load(port, mP, mQ);
        assertEquals(callers.stream().filter(each -> !each.mEnded).count(), 0);
        assertTrue(count("replaced") > 0);
        assertEquals(count("begun"), count("replaced"));
        assertNoPrefillHeld();
    }

    @Test
    public void anEngineThatGoesOnIsUsedAndItsReplacementIsAborted() {
        silentStream(1, mP, mQ, mDecode);
        assertEquals(mPort.mPrefills.size(), 2);
        UpstreamPort.StoredPrompt prompt = answer(0);
        assertTrue(aborted(1));
        assertEquals(mPort.mRuns.size(), 1, "the run takes over the permit");
        assertEquals(mPort.mRuns.get(0).mPlan.prompt(), Optional.of(prompt));
        assertEquals(mContext.extraCallBudget().usage("service", mTime.millis()).extraCalls(), 1);
        assertNoPrefillHeld();
    }

    @Test
    public void aResultThatComesInTheSameTurnIsFreedAtItsEngine() {
        silentStream(1, mP, mQ, mDecode);
        answer(1);
        UpstreamPort.StoredPrompt late = answer(0);
        assertEquals(mPort.mDiscarded, List.of(late));
        assertEquals(mPort.mRuns.size(), 1);
        assertNoPrefillHeld();
    }

    @Test
    public void aReplacementThatDiesEndsOnlyItself() {
        silentStream(1, mP, mQ, mDecode);
        mPort.mPrefills.get(1).onFailure(AttemptEnd.lost("reset"));
        mTime.advance(ServingSettings.SILENCE_CHECK_MILLIS - 1);
        assertFalse(aborted(0));
        answer(0);
        assertEquals(mPort.mRuns.size(), 1, "the run takes over the permit of the lost prefill");
        assertNoPrefillHeld();
    }

    @Test
    public void aSilentEngineThatDiesDoesNotEndItsReplacement() {
        FakeCaller caller = silentStream(1, mP, mQ, mDecode);
        mPort.mPrefills.get(0).onFailure(AttemptEnd.lost("reset"));
        assertFalse(aborted(1));
        assertEquals(mPort.mPrefills.size(), 2);
        answer(1);
        assertEquals(mPort.mRuns.size(), 1);
        assertNull(caller.mRefusal);
        assertEquals(count("ended"), 1);
    }

    @Test
    public void aLossThatIsExplainedAfterTheResultHasNoEffect() {
        mPort.mOnCheck = listener -> {};
        FakeCaller caller = silentStream(3, mP, mQ, mDecode);
        mPort.mPrefills.get(0).onFailure(AttemptEnd.lost("reset"));
        answer(1);
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS);
        assertEquals(mPort.mPrefills.size(), 2);
        assertEquals(mPort.mRuns.size(), 1);
        assertNull(caller.mRefusal);
    }

    @Test
    public void noThirdEngineIsUsedBeforeALossIsExplained() {
        mPort.mOnCheck = listener -> {};
        silentStream(3, mP, mQ, TestUpstreams.prefill("r"), mDecode);
        mTime.advance(ServingSettings.SILENCE_CHECK_MILLIS / 2);
        mPort.mPrefills.get(1).onFailure(AttemptEnd.lost("reset"));
        mTime.advance(CrashGuard.ATTRIBUTION_TIMEOUT_MILLIS - 1);
        assertEquals(mPort.mPrefills.size(), 2);
        mTime.advance(1);
        assertEquals(mPort.mPrefills.size(), 3);
    }

    @Test
    public void noThirdEngineIsUsedWhileTheSecondIsNotSilent() {
        silentStream(3, mP, mQ, TestUpstreams.prefill("r"), mDecode);
        mPort.mPrefills.get(0).onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mPrefills.size(), 2);
        mTime.advance(SILENCE_MILLIS);
        assertEquals(mPort.mPrefills.size(), 3);
        assertFalse(aborted(1));
    }

    @Test
    public void anEngineThatRestartsEndsOnlyItsOwnPrefill() {
        UpstreamEntry p = TestUpstreams.startedAt(mP, 1);
        UpstreamEntry q = TestUpstreams.startedAt(mQ, 1);
        silentStream(1, p, q, mDecode);
        UpstreamEntry silent = mPort.mPrefillCalls.get(0).mUpstream;
        UpstreamEntry other = mPort.mPrefillCalls.get(1).mUpstream;
        mDirectory.replaceAll(List.of(TestUpstreams.startedAt(silent, 2), other, mDecode));
        assertTrue(aborted(0));
        assertFalse(aborted(1));
        answer(1);
        assertEquals(mPort.mRuns.size(), 1);
    }

    @Test
    public void anEngineThatIsNoLongerListedOrWhoseStartIsUnknownGoesOn() {
        silentStream(1, mP, mQ, mDecode);
        UpstreamEntry silent = mPort.mPrefillCalls.get(0).mUpstream;
        UpstreamEntry other = mPort.mPrefillCalls.get(1).mUpstream;
        mDirectory.replaceAll(List.of(TestUpstreams.startedAt(silent, 1), other, mDecode));
        assertFalse(aborted(0));
        mDirectory.replaceAll(List.of(other, mDecode));
        assertFalse(aborted(0));
        answer(0);
        assertEquals(mPort.mRuns.size(), 1);
    }

    @Test
    public void thePromptIsLeftToTheDecodeEngineWhereNoOtherEngineIsLeft() {
        silentStream(1, mP, mDecode);
        assertTrue(aborted(0));
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(mPort.mRuns.get(0).mPlan.prompt(), Optional.empty());
        assertEquals(count("replaced"), 1);
        assertNoPrefillHeld();
    }

    @Test
    public void thePrefillGoesOnUntilTheDeadlineWithoutAnExtraCall() {
        FakeCaller caller = silentStream(0, mP, mQ, mDecode);
        mTime.advance(TIMEOUT_MILLIS - SILENCE_MILLIS - 100);
        assertFalse(aborted(0));
        assertNull(caller.mRefusal);
        answer(0);
        assertEquals(mPort.mRuns.size(), 1);
        assertEquals(count("continued"), 1);
    }

    @Test
    public void nothingIsHeldAfterTheDeadline() {
        FakeCaller caller = silentStream(0, mP, mQ, mDecode);
        mTime.advance(TIMEOUT_MILLIS);
        assertTrue(aborted(0));
        assertEquals(caller.mAnswers, 1);
        assertEquals(count("ended"), 1);
        assertEquals(mContext.extraCallBudget().usage("service", mTime.millis()).extraCalls(), 0);
        assertNoPrefillHeld();
    }

    @Test
    public void bothPrefillsAreAbortedWhenTheCallerLeaves() {
        FakeCaller caller = silentStream(1, mP, mQ, mDecode);
        caller.disconnect();
        assertTrue(aborted(0));
        assertTrue(aborted(1));
        assertNoPrefillHeld();
    }

    @Test
    public void theSearchIsTriedAgainOnceAnExtraCallIsLeft() {
        silentStream(0, mP, mQ, mDecode);
        assertEquals(mPort.mPrefills.size(), 1);
        mContext.extraCallBudget().setLimits(0, 1);
        mTime.advance(ServingSettings.SILENCE_CHECK_MILLIS);
        assertEquals(mPort.mPrefills.size(), 2);
        assertFalse(aborted(0));
    }

    @Test
    public void aPromptIsSentToNoEngineThatIsSilentItself() {
        mContext.extraCallBudget().setLimits(0, 0);
        mDirectory.replaceAll(List.of(mP, mQ, mDecode));
        stream("first");
        stream("second");
        assertEquals(
                mPort.mPrefillCalls.stream()
                        .map(each -> each.mUpstream)
                        .sorted(Comparator.comparing(UpstreamEntry::id))
                        .toList(),
                List.of(mP, mQ));
        mTime.advance(SILENCE_MILLIS);
        mContext.extraCallBudget().setLimits(0, 1);
        mTime.advance(ServingSettings.SILENCE_CHECK_MILLIS);
        assertEquals(mPort.mPrefills.size(), 2);
        assertEquals(mPort.mRuns.size(), 1, "the decode engine takes no longer");
    }

    @Test
    public void aPauseIsNoMeasurementOfTheEngines() {
        silentStream(0, mP, mDecode);
        mTime.advance(1000);
        mContext.demandMeter().publish(mTime.millis());
        double before = mContext.demandFor("service").reading().predictedMillis(1000);
        answer(0);
        mContext.demandMeter().publish(mTime.millis());
        double after = mContext.demandFor("service").reading().predictedMillis(1000);
        assertEquals(after, before, 0.01);
        assertEquals(mContext.prefillExcess().predictedMillis(), 0.0, 0.01);
    }

    @Test
    public void silenceIsNotRecordedAgainstTheRequest() {
        List<UpstreamEntry> probed = new ArrayList<>();
        mPort.mOnCheck = listener -> probed.add(mP);
        silentStream(0, mP, mQ, mDecode);
        mTime.advance(1000);
        assertEquals(probed, List.of());
        assertEquals(mMetrics.counter("upstreams.lost-calls-alive").getCount(), 0);
    }
}
