package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamDirectory;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.resume.StreamOrigin;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;

/** Streams that their callers take up, and that not all engines can continue. */
public final class ContinuedStreamTest {

    private ManualClock mTime;
    private FakePort mPort;
    private FakeCaller mCaller;
    private UpstreamDirectory mDirectory;
    private ServingContext mContext;

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
    }

    private void resume(RequestId begun) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        Route.Kind.RESUMABLE_STREAM,
                        5000,
                        900,
                        300,
                        1,
                        1,
                        List.of(new Route.WeightedService("service", 1)),
                        false);
        new StreamExecution(
                        mContext,
                        TestRequests.resumed("abc", begun, "7"),
                        route,
                        "service",
                        Optional.of(new EngineTraits(10, 90_000, 4, 2000, 500, 100)),
                        mCaller)
                .begin();
    }

    /** Guards against refusing a resumed stream for the time in which its origin was looked up. */
    @Test
    public void aResumedStreamWaitsFromWhenItsOriginIsKnown() {
        UpstreamEntry engine = TestUpstreams.decode("a", "v1");
        mDirectory.replaceAll(List.of(engine, TestUpstreams.decode("c", "v2")));
        mPort.mFullEngines.add(engine.incarnation());
        RequestId begun = new RequestId("begun");
        resume(begun);
        mTime.advance(350);
        mContext.origins().onAnswer(begun, new StreamOrigin("service", engine.version()));
        mTime.advance(750);
        mPort.mFullEngines.clear();
        mTime.advance(100);
        assertEquals(mPort.mRuns.get(0).mUpstream, engine);
        assertEquals(mPort.mRuns.get(0).mPlan.resumeAfter(), OptionalLong.of(7));
    }

    /** Guards against a final refusal of a stream whose origin may still become known. */
    @Test
    public void anUnknownOriginIsRefusedUntilItMayBecomeKnown() {
        mDirectory.replaceAll(List.of(TestUpstreams.decode("a", "v1")));
        resume(new RequestId("begun"));
        mTime.advance(1000);
        assertEquals(mCaller.mRefusal, ResultCode.ORIGIN_UNKNOWN);
        assertEquals(mCaller.mRetryAfterMillis, ServingSettings.RETRY_AFTER_MILLIS);
    }
}
