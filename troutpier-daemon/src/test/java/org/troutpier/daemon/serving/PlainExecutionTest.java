package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.organisation.Requester;
import org.troutpier.daemon.route.Route;

/** Single plain calls at one router that hears no others, with the queue and without. */
public final class PlainExecutionTest {

    private static final int TARGET_MILLIS = PlainFleet.TARGET_MILLIS;

    private PlainFleet mFleet;

    private FakeCaller mCaller;

    @BeforeMethod
    void setUp() {
        start(2, true);
    }

    private void start(int upstreams, boolean plainQueue) {
        mFleet = new PlainFleet(1, upstreams, plainQueue, 3);
        mCaller = new FakeCaller();
    }

    private FakeCaller call(Route.Kind kind) {
        return call(kind, new byte[0]);
    }

    private FakeCaller call(Route.Kind kind, byte[] body) {
        FakeCaller caller = new FakeCaller();
        ServingRequest request =
                new ServingRequest(
                        new RequestId("request"),
                        "POST",
                        "/x",
                        "h",
                        new DefaultHttpHeaders(),
                        body,
                        1500,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        new Requester.Unchecked());
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        1500,
                        TARGET_MILLIS,
                        0,
                        2,
                        kind.repeatable() ? 2 : 1,
                        List.of(new Route.WeightedService("service", 1)),
                        false);
        new PlainExecution(mFleet.mRouters.get(0).mContext, request, route, "service", caller)
                .begin();
        return caller;
    }

    private int runs() {
        return mFleet.mUpstreams.stream().mapToInt(each -> each.mAccepted).sum();
    }

    /** Uses all of this router's part of the limits. */
    private void fillPart() {
        for (int call = 0; call < PlainUpstream.SLOTS; call++) {
            call(Route.Kind.ONCE);
        }
    }

    @Test
    public void aCallWithoutRoomIsRefusedAtOnceWithATimeToReturn() {
        start(1, true);
        fillPart();
        for (int call = 0; call < 100; call++) {
            mCaller = call(Route.Kind.ONCE);
            if (mCaller.mRefusal != null) {
                break;
            }
        }
        assertEquals(mCaller.mRefusal, ResultCode.TARGET_OUT_OF_REACH);
        assertTrue(mCaller.mRetryAfterMillis > 0);
        assertTrue(mCaller.mRetryAfterMillis < 1500 / 3, "" + mCaller.mRetryAfterMillis);
    }

    @Test
    public void aWaitingCallIsSentAsSoonAsThereIsRoom() {
        start(1, true);
        mFleet.mUpstreams.get(0).mSlowdown = 0.1;
        fillPart();
        mCaller = call(Route.Kind.ONCE);
        assertEquals(runs(), 0);
        mFleet.mTime.advance(TARGET_MILLIS / 4);
        assertEquals(runs(), PlainUpstream.SLOTS + 1);
        assertEquals(mCaller.mStatus, 200);
    }

    @Test
    public void aWaitingCallIsRefusedAsNotRunWhenItsWaitIsOver() {
        start(1, true);
        mFleet.mUpstreams.get(0).mSlowdown = 100;
        fillPart();
        mCaller = call(Route.Kind.ONCE);
        assertNull(mCaller.mRefusal);
        mFleet.mTime.advance(TARGET_MILLIS / 4);
        assertEquals(runs(), PlainUpstream.SLOTS);
        assertEquals(mCaller.mRefusal, ResultCode.TARGET_OUT_OF_REACH);
    }

    @Test
    public void aCallThatIsTooLargeToWaitIsRefused() {
        start(1, true);
        fillPart();
        assertEquals(
                call(Route.Kind.ONCE, new byte[5 * 1024 * 1024]).mRefusal,
                ResultCode.TARGET_OUT_OF_REACH);
        assertNull(call(Route.Kind.ONCE, new byte[1024]).mRefusal);
    }

    @Test
    public void aCallerThatLeavesWhileItsCallWaitsIsDropped() {
        start(1, true);
        fillPart();
        FakeCaller leaving = call(Route.Kind.ONCE);
        ServingContext context = mFleet.mRouters.get(0).mContext;
        assertEquals(context.plainCalls().report().entries().size(), 1);
        leaving.disconnect();
        assertEquals(context.plainCalls().report().entries().size(), 0);
        mFleet.mTime.advance(2000);
        assertEquals(runs(), PlainUpstream.SLOTS);
        assertEquals(leaving.mAnswers, 0);
    }

    @Test
    public void aOnceOnlyCallThatWasTurnedAwayWaitsForTheSameUpstream() {
        mFleet.mUpstreams.forEach(each -> each.mFull = true);
        FakeCaller caller = call(Route.Kind.ONCE);
        mFleet.mTime.advance(5);
        assertEquals(mFleet.turnedAway(), 1);
        assertNull(caller.mRefusal);
        mFleet.mUpstreams.forEach(each -> each.mFull = false);
        mFleet.mTime.advance(TARGET_MILLIS);
        assertEquals(caller.mStatus, 200);
        PlainUpstream first =
                mFleet.mUpstreams.stream()
                        .filter(each -> each.mTurnedAway > 0)
                        .findFirst()
                        .orElseThrow();
        assertEquals(first.mAccepted, 1);
        assertEquals(runs(), 1);
    }

    @Test
    public void aOnceOnlyCallWaitsForTheSameUpstreamAlsoWhenTheWorkIsKnown() {
        for (int call = 0; call < 10; call++) {
            call(Route.Kind.ONCE);
            mFleet.mTime.advance(100);
        }
        int before = runs();
        mFleet.mUpstreams.forEach(each -> each.mFull = true);
        FakeCaller caller = call(Route.Kind.ONCE);
        mFleet.mTime.advance(5);
        assertEquals(mFleet.turnedAway(), 1);
        mFleet.mUpstreams.forEach(each -> each.mFull = false);
        mFleet.mTime.advance(TARGET_MILLIS);
        assertEquals(caller.mStatus, 200);
        assertEquals(runs(), before + 1);
    }

    @Test
    public void aOnceOnlyCallThatIsTurnedAwayTwiceIsRefusedAsNotRun() {
        mFleet.mUpstreams.forEach(each -> each.mFull = true);
        FakeCaller caller = call(Route.Kind.ONCE);
        mFleet.mTime.advance(TARGET_MILLIS);
        assertNotNull(caller.mRefusal);
        assertEquals(caller.mRefusal.family(), ResultCode.Family.NOT_RUN);
        assertEquals(mFleet.turnedAway(), 2);
    }

    @Test
    public void withoutTheQueueAOnceOnlyCallThatWasTurnedAwayIsRefused() {
        start(2, false);
        mFleet.mUpstreams.forEach(each -> each.mFull = true);
        FakeCaller caller = call(Route.Kind.ONCE);
        mFleet.mTime.advance(5);
        assertEquals(caller.mRefusal, ResultCode.UPSTREAMS_REFUSED);
        assertEquals(mFleet.turnedAway(), 1);
        assertTrue(mFleet.mRouters.get(0).mContext.plainCalls().statuses().isEmpty());
    }

    @Test
    public void aSilentRepeatableCallMovesWhileItsTargetCanBeMet() {
        assertSilentCallMoves();
    }

    @Test
    public void aSilentRepeatableCallDoesNotWaitForAProbe() {
        mFleet.mProbeMillis = 300;
        assertSilentCallMoves();
    }

    private void assertSilentCallMoves() {
        for (int call = 0; call < 6; call++) {
            call(Route.Kind.ONCE);
            mFleet.mTime.advance(100);
        }
        mFleet.mUpstreams.get(0).mSlowdown = 100;
        mFleet.mUpstreams.get(1).mSlowdown = 100;
        FakeCaller caller = call(Route.Kind.REPEATABLE);
        mFleet.mTime.advance(5);
        mFleet.mUpstreams.forEach(each -> each.mSlowdown = 1);
        mFleet.mTime.advance(TARGET_MILLIS - 5);
        assertEquals(caller.mStatus, 200);
    }

    @Test
    public void aCallAtAReplacedUpstreamGoesToAnotherOne() {
        mFleet.mUpstreams.forEach(each -> each.mFull = true);
        FakeCaller caller = call(Route.Kind.ONCE);
        mFleet.mTime.advance(5);
        PlainUpstream first =
                mFleet.mUpstreams.stream()
                        .filter(each -> each.mTurnedAway > 0)
                        .findFirst()
                        .orElseThrow();
        first.mLost = true;
        mFleet.mUpstreams.forEach(each -> each.mFull = false);
        mFleet.mTime.advance(TARGET_MILLIS);
        assertEquals(caller.mStatus, 200);
        assertEquals(first.mAccepted, 0);
    }

    @Test
    public void aSilentOnceOnlyCallStaysWhereItWasSent() {
        mFleet.mUpstreams.forEach(each -> each.mSlowdown = 100);
        FakeCaller caller = call(Route.Kind.ONCE);
        mFleet.mTime.advance(2000);
        assertEquals(runs(), 1);
        assertEquals(caller.mRefusal, ResultCode.DEADLINE_WHILE_RUNNING);
    }
}
