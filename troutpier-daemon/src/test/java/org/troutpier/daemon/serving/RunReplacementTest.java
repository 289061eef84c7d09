package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

/** Two runs of one stream, of which the first is silent. */
public final class RunReplacementTest {

    private static final UpstreamPort.Head HEAD =
            new UpstreamPort.Head(
                    200, new DefaultHttpHeaders(), UpstreamPort.Verdict.SUCCESS, true);

    private ManualClock mTime;
    private FakePort mPort;
    private FakeCaller mCaller;
    private ServingContext mContext;
    private UpstreamDirectory mDirectory;

    @BeforeMethod
    void setUp() {
        mTime = new ManualClock();
        mPort = new FakePort();
        mCaller = new FakeCaller();
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
        TestContext setup = new TestContext(mTime);
        setup.mPort = mPort;
        setup.mDirectory = mDirectory;
        mContext = setup.build();
        mContext.extraCallBudget().setLimits(0, 10);
    }

    /** Starts a stream for which there are two decode engines. */
    private void stream(UpstreamEntry... others) {
        List<UpstreamEntry> upstreams = new ArrayList<>(List.of(others));
        upstreams.add(TestUpstreams.decode("a"));
        upstreams.add(TestUpstreams.decode("b"));
        mDirectory.replaceAll(upstreams);
        PromptMetadata prompt =
                new PromptMetadata("m", 1000, 500, List.of(new PromptMetadata.Part("own", 1000)));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.RESUMABLE_STREAM,
                        14_000,
                        900,
                        300,
                        1,
                        2,
                        List.of(new Route.WeightedService("service", 1)),
                        false);
        new StreamExecution(
                        mContext,
                        TestRequests.of("abc", "/x", new byte[0], Optional.of(prompt)),
                        route,
                        "service",
                        Optional.of(new EngineTraits(10, 90_000, 4, 2000, 500, 100)),
                        mCaller)
                .begin();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void assertNothingHeld() {
        mContext.loads()
                .usage()
                .forEach(
                        (upstream, use) -> {
                            assertEquals(use.calls(), 0, upstream.toString());
                            assertEquals(use.tokens(), 0, upstream.toString());
                        });
    }

    @Test
    public void anEngineThatSpeaksAgainEndsTheSearchForAnother() {
        UpstreamEntry prefill = TestUpstreams.prefill("p");
        stream(prefill);
        mPort.mPrefills.get(0).onResult(new UpstreamPort.StoredPrompt(prefill, "handle"));
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        UpstreamPort.RunListener first = mPort.mRuns.get(0).mListener;
        first.onHead(HEAD);
        assertTrue(mPort.mPrefillCalls.get(1).mAborted);
        assertEquals(mPort.mReleased.size(), 1);
        first.onPart(bytes("id: 1\ndata: a\n\n"));
        first.onEnd();
        assertTrue(mCaller.mEnded);
        assertNothingHeld();
    }

    /** Starts a stream whose first engine is silent, and returns the second run. */
    private UpstreamPort.RunListener streamWithSecondRun() {
        stream();
        UpstreamPort.RunListener first = mPort.mRuns.get(0).mListener;
        first.onHead(HEAD);
        first.onPart(bytes("id: 1\ndata: a\n\n"));
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        assertEquals(mPort.mRuns.size(), 2);
        return mPort.mRuns.get(1).mListener;
    }

    @Test
    public void anEngineDoesNotWorkOnAStreamThatWasContinuedElsewhere400MillisBefore() {
        UpstreamPort.RunListener second = streamWithSecondRun();
        second.onHead(HEAD);
        second.onPart(bytes(": no event\n\n"));
        assertFalse(mPort.mRuns.get(0).mAborted);
        mTime.advance(380);
        assertTrue(mPort.mRuns.get(0).mAborted);
        assertFalse(mPort.mRuns.get(1).mAborted);
    }

    @Test
    public void aSilentRunIsNotGivenUpForOneThatIsRefusedLate() {
        UpstreamPort.RunListener second = streamWithSecondRun();
        mTime.advance(2000);
        second.onHead(
                new UpstreamPort.Head(
                        503, new DefaultHttpHeaders(), UpstreamPort.Verdict.NOT_STARTED, true));
        second.onEnd();
        assertFalse(mPort.mRuns.get(0).mAborted);
        UpstreamPort.RunListener first = mPort.mRuns.get(0).mListener;
        first.onPart(bytes("id: 2\ndata: b\n\n"));
        first.onEnd();
        assertEquals(mCaller.text(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(mCaller.mEnded);
        assertNothingHeld();
    }

    @Test
    public void anEngineWhoseRunWasGivenUpMayBeSentTheStreamAgain() {
        streamWithSecondRun();
        UpstreamPort.RunListener first = mPort.mRuns.get(0).mListener;
        first.onPart(bytes("id: 2\ndata: b\n\n"));
        assertTrue(mPort.mRuns.get(1).mAborted);
        mPort.mOnCheck = probe -> probe.accept(UpstreamPort.ProbeResult.NOT_LISTENING);
        first.onFailure(AttemptEnd.lost("reset"));
        mTime.advance(1000);
        UpstreamPort.RunListener third = mPort.mRuns.get(2).mListener;
        third.onHead(HEAD);
        third.onPart(bytes("id: 3\ndata: c\n\n"));
        third.onEnd();
        assertTrue(mCaller.mEnded);
        assertNothingHeld();
    }

    @Test
    public void aCallerThatLeavesEndsBothRuns() {
        streamWithSecondRun();
        mCaller.disconnect();
        assertTrue(mPort.mRuns.get(0).mAborted);
        assertTrue(mPort.mRuns.get(1).mAborted);
        mTime.advance(5000);
        assertEquals(mPort.mRuns.size(), 2);
        assertNothingHeld();
    }

    @Test
    public void aSilentRunThatBreaksOffKeepsThePermitOfItsReplacement() {
        mContext.extraCallBudget().setLimits(0, 1);
        mPort.mDefersReservations = true;
        stream();
        mPort.mDeferredReservation.onResult(new UpstreamPort.Reservation("token"));
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        mPort.mOnCheck =
                probe ->
                        mTime.loop()
                                .schedule(
                                        () -> probe.accept(UpstreamPort.ProbeResult.NOT_LISTENING),
                                        100);
        mPort.mRuns.get(0).mListener.onFailure(AttemptEnd.lost("reset"));
        assertTrue(
                mContext.extraCallBudget().tryAcquire("service", mTime.millis()).isEmpty(),
                "the permit was given to another request");
        mTime.advance(1000);
        mPort.mDeferredReservation.onResult(new UpstreamPort.Reservation("token"));
        assertEquals(mPort.mRuns.size(), 2);
    }

    @Test
    public void aSilentRunThatBreaksOffIsFollowedByTheOneThatWasSent() {
        stream();
        UpstreamPort.RunListener first = mPort.mRuns.get(0).mListener;
        first.onHead(HEAD);
        first.onPart(bytes("id: 1\ndata: a\n\nid: 2\nda"));
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        first.onFailure(AttemptEnd.lost("reset"));
        assertEquals(mPort.mRuns.size(), 2);
        UpstreamPort.RunListener second = mPort.mRuns.get(1).mListener;
        second.onHead(HEAD);
        second.onPart(bytes("id: 2\ndata: b\n\n"));
        second.onEnd();
        assertEquals(mCaller.text(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(mCaller.mEnded);
        assertNothingHeld();
    }

    @Test
    public void anEngineIsNotSilentBecauseItsCallerReadsSlowly() {
        stream();
        UpstreamPort.RunListener run = mPort.mRuns.get(0).mListener;
        run.onHead(HEAD);
        mCaller.mWritable = false;
        run.onPart(bytes("id: 1\ndata: a\n\n"));
        mTime.advance(2 * ServingSettings.STREAM_SILENCE_MILLIS);
        assertEquals(mPort.mRuns.size(), 1);
        mCaller.readOn();
        mTime.advance(ServingSettings.STREAM_SILENCE_MILLIS + 1);
        assertEquals(mPort.mRuns.size(), 2);
    }
}
