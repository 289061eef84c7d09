package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.route.Route;

/** What becomes of requests at a router that stops, in virtual time. */
public final class StopDeadlineTest {

    private static final long LEFT_MILLIS = 5000;

    private static final long SHORT_MILLIS = 50;

    /** Longer than the stop. */
    private static final int LIMIT_MILLIS = 9000;

    private PlainFleet mFleet;
    private ServingContext mContext;

    @BeforeMethod
    void setUp() {
        mFleet = new PlainFleet(1, 1, true, 3);
        mContext = mFleet.mRouters.get(0).mContext;
    }

    private static Route route() {
        return new Route(
                "r",
                "h",
                "/",
                Route.Kind.ONCE,
                LIMIT_MILLIS,
                LIMIT_MILLIS,
                0,
                2,
                1,
                List.of(new Route.WeightedService("service", 1)),
                false);
    }

    private FakeCaller call() {
        FakeCaller caller = new FakeCaller();
        ServingRequest request = TestRequests.of("a1", "/x", new byte[0], Optional.empty());
        new PlainExecution(mContext, request, route(), "service", caller).begin();
        return caller;
    }

    @Test
    public void aRequestAtAnUpstreamIsAnsweredThatItMayHaveRun() {
        mFleet.mUpstreams.get(0).mSlowdown = 1000;
        FakeCaller caller = call();
        mContext.stopDeadline().begin(LEFT_MILLIS);
        mFleet.mTime.advance(LEFT_MILLIS - 1);
        assertEquals(caller.mAnswers, 0);
        mFleet.mTime.advance(1);
        assertEquals(caller.mRefusal, ResultCode.DEADLINE_WHILE_RUNNING);
    }

    @Test
    public void aRequestThatWaitsIsRefusedAsNotRun() {
        mFleet.mUpstreams.get(0).mSlowdown = 1000;
        List<FakeCaller> callers = new ArrayList<>();
        for (int count = 0; count <= PlainUpstream.SLOTS; count++) {
            callers.add(call());
        }
        FakeCaller waiting = callers.get(callers.size() - 1);
        assertNull(waiting.mRefusal);
        // sooner than the call is refused for its wait
        mContext.stopDeadline().begin(SHORT_MILLIS);
        mFleet.mTime.advance(SHORT_MILLIS);
        assertEquals(waiting.mRefusal.family(), ResultCode.Family.NOT_RUN);
        assertEquals(
                mFleet.mUpstreams.get(0).mAccepted, PlainUpstream.SLOTS, "calls that were run");
    }

    @Test
    public void aRequestThatEndsBeforeIsServed() {
        FakeCaller caller = call();
        mContext.stopDeadline().begin(LEFT_MILLIS);
        mFleet.mTime.advance(LEFT_MILLIS);
        assertEquals(caller.mStatus, 200);
    }

    @Test
    public void onlyRequestsThatAreExpectedToEndBeforeAreAdmitted() {
        assertTrue(mContext.stopDeadline().isReachable(route(), LIMIT_MILLIS), "no stop");
        mContext.stopDeadline().begin(LEFT_MILLIS);
        mFleet.mTime.advance(0);
        assertTrue(mContext.stopDeadline().isReachable(route(), LEFT_MILLIS), "limit");
        assertFalse(mContext.stopDeadline().isReachable(route(), LIMIT_MILLIS), "unknown");
        for (int count = 0; count < 20; count++) {
            mContext.stopDeadline().recordAnswer("r", 1000);
        }
        assertTrue(mContext.stopDeadline().isReachable(route(), LIMIT_MILLIS), "forecast");
        mFleet.mTime.advance(LEFT_MILLIS - 500);
        assertFalse(mContext.stopDeadline().isReachable(route(), LIMIT_MILLIS), "too late");
    }

    @Test
    public void anAnswerThatWasBegunIsNotCut() {
        List<String> passed = new ArrayList<>();
        boolean[] answering = {false};
        new RequestDeadline(
                mFleet.mTime.loop(),
                mContext.stopDeadline(),
                LIMIT_MILLIS,
                () -> answering[0],
                () -> passed.add("passed"));
        mContext.stopDeadline().begin(LEFT_MILLIS);
        answering[0] = true;
        mFleet.mTime.advance(LIMIT_MILLIS - 1);
        assertTrue(passed.isEmpty());
        mFleet.mTime.advance(1);
        assertEquals(passed.size(), 1);
    }
}
