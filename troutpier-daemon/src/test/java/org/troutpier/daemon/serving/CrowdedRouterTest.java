package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.daemon.route.Route;

/**
 * What callers of plain services get while one router of many receives most of the calls, and the
 * upstreams have room. Each router hears all others.
 */
public final class CrowdedRouterTest {

    private static final int UPSTREAMS = 3;

    private static final long SEED = 7;

    private static final long SECOND = 1000;

    /** The part of the calls of even times that must be served at the first attempt. */
    private static final double REQUIRED_SHARE = 0.75;

    private static void send(PlainFleet fleet, double perSecond, long millis) {
        fleet.send("a", Route.Kind.ONCE, perSecond / 2, millis);
        fleet.send("b", Route.Kind.REPEATABLE, perSecond / 2, millis);
    }

    /** Returns the part of the calls sent in a time that were in time at the first attempt. */
    private static double servedShare(PlainFleet fleet, PlainTally before) {
        PlainTally total = fleet.total();
        int sent = total.mSent - before.mSent;
        assertTrue(sent > 0, "calls sent");
        return (double) (total.mInTime - before.mInTime) / sent;
    }

    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            {23, 0.33, 144},
            {23, 0.9, 144},
            {85, 0.33, 144},
            {85, 0.9, 144},
            {85, 1.0, 144},
            {85, 0.9, 216},
            {200, 0.9, 144},
        };
    }

    @Test(dataProvider = "crowds")
    public void callsAreServedWhileOneRouterReceivesMostOfThem(
            int routers, double share, double perSecond) {
        PlainFleet fleet = new PlainFleet(routers, UPSTREAMS, true, SEED);
        send(fleet, perSecond, 6 * SECOND);
        fleet.mTime.advance(2 * SECOND);
        PlainTally before = fleet.total();
        assertEquals(before.mRefused, 0);
        fleet.mCrowdedShare = share;
        fleet.mTime.advance(2 * SECOND);
        fleet.mCrowdedRouter = 1;
        fleet.finish(2 * SECOND);
        double served = servedShare(fleet, before);
        System.out.printf("%d routers, %.2f to one: %s%n", routers, share, fleet.total());
        assertTrue(served >= REQUIRED_SHARE, "served at the first attempt: " + served);
    }

    @Test
    public void aRouterThatIsLateItselfDoesNotTakeIdleUpstreamsForSlow() {
        PlainFleet fleet = new PlainFleet(23, UPSTREAMS, true, SEED);
        send(fleet, 144, 6 * SECOND);
        fleet.mTime.advance(2 * SECOND);
        fleet.mCrowdedShare = 0.9;
        fleet.mRouters.get(0).mRoundTripMillis = PlainFleet.TARGET_MILLIS;
        fleet.finish(4 * SECOND);
        PlainTally total = fleet.total();
        System.out.println("late router: " + total);
        double served = (total.mInTime + total.mLate) / (double) total.mSent;
        assertTrue(served >= 0.95, "served at the first attempt: " + served);
    }
}
