package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.id.RequestId;
import org.troutpier.daemon.route.Route;

/**
 * What the callers of plain services get under load, with the queue and without. Three upstreams
 * answer 420 calls a second; 23 routers are sent 144 a second on average.
 */
public final class PlainLoadTest {

    private static final int ROUTERS = 23;

    private static final int UPSTREAMS = 3;

    private static final long SEED = 7;

    /** The part of answers that may be late although the calls were accepted. */
    private static final double MAX_LATE_SHARE = 0.02;

    /** Time within which most refusals come: the wait for room is an eighth of the target. */
    private static final long EARLY_MILLIS = PlainFleet.TARGET_MILLIS / 8;

    /** One scenario, played on a new fleet. */
    private interface Scenario {

        void play(PlainFleet fleet);
    }

    private static PlainFleet play(boolean plainQueue, Scenario scenario) {
        PlainFleet fleet = new PlainFleet(ROUTERS, UPSTREAMS, plainQueue, SEED);
        scenario.play(fleet);
        String name = plainQueue ? "with the queue: " : "without: ";
        System.out.println(name + fleet.total() + ", " + fleet.turnedAway() + " turned away");
        Map<RequestId, Integer> runs = new HashMap<>();
        fleet.mUpstreams.forEach(
                each -> each.mRuns.forEach((id, count) -> runs.merge(id, count, Integer::sum)));
        assertEquals(Collections.max(runs.values()).intValue(), 1, "runs of a once-only attempt");
        return fleet;
    }

    private static void sendUsual(PlainFleet fleet, double factor, long millis) {
        for (int number = 0; number < 4; number++) {
            fleet.send("usual-" + number, Route.Kind.ONCE, 26 * factor, millis);
            fleet.send("usual-" + number, Route.Kind.REPEATABLE, 10 * factor, millis);
        }
    }

    private static void playBurst(PlainFleet fleet) {
        sendUsual(fleet, 1, 9000);
        fleet.mTime.advance(2000);
        sendUsual(fleet, 2.5, 4000);
        fleet.finish(7000);
    }

    private static void assertAcceptedCallsAreInTime(PlainFleet fleet) {
        PlainTally total = fleet.total();
        assertTrue(total.mLate <= total.mSent * MAX_LATE_SHARE, total.toString());
    }

    @Test
    public void theUsualLoadIsServedAsBefore() {
        for (boolean plainQueue : List.of(false, true)) {
            PlainFleet fleet =
                    play(
                            plainQueue,
                            each -> {
                                sendUsual(each, 1, 6000);
                                each.finish(6000);
                            });
            assertEquals(fleet.total().mInTime, fleet.total().mSent);
        }
    }

    @Test
    public void inABurstAcceptedCallsAreInTimeAndTheOthersRefusedEarly() {
        PlainFleet before = play(false, PlainLoadTest::playBurst);
        PlainFleet fleet = play(true, PlainLoadTest::playBurst);
        assertAcceptedCallsAreInTime(fleet);
        double missed = 1 - fleet.total().inTimeShare();
        assertTrue(missed < (1 - before.total().inTimeShare()) / 2, "missed " + missed);
        assertTrue(fleet.turnedAway() < before.turnedAway() / 10);
        List<Long> refusals = fleet.total().mRefusalMillis;
        Collections.sort(refusals);
        assertTrue(refusals.get(refusals.size() / 2) <= 2, "median refusal");
        long latest = refusals.get(refusals.size() - 1);
        assertTrue(latest <= 2 * EARLY_MILLIS, "latest refusal after " + latest + " ms");
    }

    @Test
    public void aFloodIsPaidForByTheOrganisationThatCausesIt() {
        Scenario scenario =
                each -> {
                    sendUsual(each, 1, 8000);
                    each.mTime.advance(2000);
                    each.send("flood", Route.Kind.ONCE, 400, 4000);
                    each.finish(6000);
                };
        PlainFleet before = play(false, scenario);
        PlainFleet fleet = play(true, scenario);
        assertAcceptedCallsAreInTime(fleet);
        for (int number = 0; number < 4; number++) {
            PlainTally usual = fleet.tally("usual-" + number);
            assertTrue(usual.inTimeShare() >= 0.95, usual.toString());
            assertTrue(
                    usual.inTimeShare() > before.tally("usual-" + number).inTimeShare(),
                    usual.toString());
        }
        PlainTally flood = fleet.tally("flood");
        assertTrue(flood.inTimeShare() >= before.tally("flood").inTimeShare(), flood.toString());
    }

    @Test
    public void oneSlowUpstreamCostsNoMoreThanBefore() {
        Scenario scenario =
                each -> {
                    sendUsual(each, 1.3, 8000);
                    each.mTime.advance(2000);
                    each.mUpstreams.get(0).mSlowdown = 5;
                    each.mTime.advance(4000);
                    each.mUpstreams.get(0).mSlowdown = 1;
                    each.finish(2000);
                };
        PlainFleet before = play(false, scenario);
        PlainFleet fleet = play(true, scenario);
        assertTrue(fleet.total().mLate < before.total().mLate);
        assertEquals(fleet.total().mRefused, 0);
    }

    private static void playSlowMoments(PlainFleet fleet) {
        sendUsual(fleet, 1.7, 8000);
        for (int moment = 0; moment < 12; moment++) {
            PlainUpstream upstream = fleet.mUpstreams.get(moment % UPSTREAMS);
            upstream.mSlowdown = 2.5;
            fleet.mTime.advance(600);
            upstream.mSlowdown = 1;
        }
        fleet.finish(1000);
    }

    @Test
    public void upstreamsThatAreSlowForMomentsCostNoMoreThanBefore() {
        PlainFleet before = play(false, PlainLoadTest::playSlowMoments);
        PlainFleet fleet = play(true, PlainLoadTest::playSlowMoments);
        assertTrue(fleet.total().inTimeShare() >= before.total().inTimeShare());
    }

    @Test
    public void acceptedCallsAreInTimeAtUpstreamsThatAreSlowForMoments() {
        assertAcceptedCallsAreInTime(play(true, PlainLoadTest::playSlowMoments));
    }

    @Test
    public void anUpstreamThatReturnsIsNotOverrun() {
        Scenario scenario =
                each -> {
                    sendUsual(each, 2.2, 8000);
                    each.mTime.advance(2000);
                    each.mUpstreams.get(0).mLost = true;
                    each.mTime.advance(3000);
                    each.mUpstreams.get(0).mMostCalls = 0;
                    each.mUpstreams.get(0).mLost = false;
                    each.finish(3000);
                };
        PlainFleet before = play(false, scenario);
        PlainFleet fleet = play(true, scenario);
        assertAcceptedCallsAreInTime(fleet);
        assertTrue(fleet.total().inTimeShare() >= before.total().inTimeShare());
        int most = fleet.mUpstreams.get(0).mMostCalls;
        assertTrue(most < PlainUpstream.SLOTS + PlainUpstream.QUEUE, "calls " + most);
        assertEquals(fleet.mUpstreams.get(0).mTurnedAway, 0);
    }

    @Test
    public void failingAnswersDoNotReduceWhatIsServed() {
        Scenario scenario =
                each -> {
                    each.mUpstreams.forEach(upstream -> upstream.mErrorShare = 0.14);
                    sendUsual(each, 1.7, 5000);
                    each.finish(5000);
                };
        PlainFleet before = play(false, scenario);
        PlainFleet fleet = play(true, scenario);
        assertEquals(fleet.total().mRefused, 0);
        assertTrue(fleet.total().inTimeShare() >= before.total().inTimeShare() - 0.01);
    }

    @Test
    public void routersThatRestartInABurstServeAndDoNotOverrunTheUpstreams() {
        Scenario scenario =
                each -> {
                    sendUsual(each, 3.5, 5000);
                    for (int number = 0; number < ROUTERS; number += 2) {
                        each.mTime.advance(100);
                        each.restart(number);
                    }
                    each.finish(5000);
                };
        PlainFleet before = play(false, scenario);
        PlainFleet fleet = play(true, scenario);
        assertTrue(fleet.total().inTimeShare() >= before.total().inTimeShare());
        assertTrue(fleet.turnedAway() <= before.turnedAway() / 10);
    }

    /** Plays a burst while the routers are split into groups of which none hears another. */
    private static void playSplitBurst(PlainFleet fleet, int groups) {
        for (int number = 0; number < ROUTERS; number++) {
            fleet.mRouters.get(number).mGroup = number % groups;
        }
        sendUsual(fleet, 1, 2000);
        fleet.mTime.advance(2000);
        sendUsual(fleet, 3.5, 4000);
        fleet.finish(4000);
    }

    private static void assertFewerAreTurnedAwayOrLate(int groups) {
        PlainFleet before = play(false, each -> playSplitBurst(each, groups));
        PlainFleet fleet = play(true, each -> playSplitBurst(each, groups));
        assertTrue(fleet.turnedAway() <= before.turnedAway() / 2);
        assertTrue(fleet.total().inTimeShare() >= before.total().inTimeShare());
    }

    @Test
    public void routersThatHearNoOthersKeepToTheirPartOfTheLimits() {
        assertFewerAreTurnedAwayOrLate(ROUTERS);
    }

    @Test
    public void routersThatHearHalfOfTheOthersOverrunUpstreamsLessThanBefore() {
        assertFewerAreTurnedAwayOrLate(2);
    }
}
