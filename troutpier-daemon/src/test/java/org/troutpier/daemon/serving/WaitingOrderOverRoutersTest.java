package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.daemon.waiting.HoldBack;

/**
 * One order of the requests that wait at 8 to 300 routers, with the users' load: 24 engines, of
 * which some 50 runs can begin a second, a kind with 0.5 s to wait and a less urgent one with 1.7
 * s, and organisations that send a flood of requests.
 */
public final class WaitingOrderOverRoutersTest {

    private static final int ENGINES = 24;
    private static final long URGENT_WAIT = 500;
    private static final long LESS_URGENT_WAIT = 1700;

    /** Part of a calm organisation's requests that are to be served while others flood. */
    private static final double CALM_SERVED = 0.95;

    /** Part of the less urgent requests that are to be served within their own target. */
    private static final double LESS_URGENT_SERVED = 0.95;

    /** Random difference of parts of some 90 large requests. */
    private static final double LARGE_TOLERANCE = 0.1;

    /** The time in which a router learns of free memory and its next round has ended. */
    private static final long ROUND_MILLIS = 150;

    /** The kinds' rates in calm and in a double burst, requests a second. */
    private static final double LESS_URGENT_PER_SECOND = 0.66;

    private static final double LESS_URGENT_BURST = 4.2 * LESS_URGENT_PER_SECOND;

    private static final Runnable NO_TROUBLE = () -> {};

    private final Map<String, Run> mRuns = new HashMap<>();

    /** A simulation that has ended, and its workloads. */
    private record Run(
            WaitingSimulation simulation,
            WaitingWorkload calm,
            WaitingWorkload flood,
            WaitingWorkload lessUrgent) {

        double served() {
            double granted = calm.mGranted + flood.mGranted + lessUrgent.mGranted;
            return granted / (calm.mRequests + flood.mRequests + lessUrgent.mRequests);
        }
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {83}, {300}};
    }

    private Run play(boolean shared, int routers) {
        return mRuns.computeIfAbsent(
                routers + " " + shared,
                name -> play(new WaitingSimulation(7, shared, routers, ENGINES), NO_TROUBLE));
    }

    /** Four floods of 5 s, in which the less urgent kind has bursts of its own. */
    private static Run play(WaitingSimulation simulation, Runnable trouble) {
        WaitingWorkload calm = simulation.add("calm", 0, URGENT_WAIT, 21);
        WaitingWorkload flood = simulation.add("flood", 0, URGENT_WAIT, 5);
        WaitingWorkload lessUrgent = simulation.add("calm", 2, LESS_URGENT_WAIT, 0);
        for (int burst = 0; burst < 4; burst++) {
            lessUrgent.mPerSecond = LESS_URGENT_PER_SECOND;
            simulation.advance(3);
            flood.mPerSecond = 60;
            lessUrgent.mPerSecond = LESS_URGENT_BURST;
            simulation.advance(2);
            trouble.run();
            simulation.advance(3);
            flood.mPerSecond = 5;
            lessUrgent.mPerSecond = LESS_URGENT_PER_SECOND;
            simulation.advance(2);
        }
        Reporter.log(simulation.toString(), true);
        return new Run(simulation, calm, flood, lessUrgent);
    }

    @Test(dataProvider = "sizes")
    public void lessUrgentRequestsPrecedeUrgentOnesOnlyWhenDueAndAreServed(int routers) {
        Run run = play(true, routers);
        WaitingSimulation simulation = run.simulation();
        long notDue = simulation.mInversions - simulation.mDueInversions;
        assertTrue(notDue * 20 <= run.lessUrgent().mGranted, simulation.toString());
        assertTrue(run.lessUrgent().inTime() >= LESS_URGENT_SERVED, simulation.toString());
    }

    @Test(dataProvider = "sizes")
    public void aFloodDoesNotTakeTheMemoryOfOtherOrganisations(int routers) {
        Run run = play(true, routers);
        assertTrue(run.calm().inTime() >= CALM_SERVED, run.simulation().toString());
    }

    /** The largest tenth of the requests of an organisation within its share. */
    @Test(dataProvider = "sizes")
    public void largeRequestsAreServedLikeTheOthers(int routers) {
        Run run = play(true, routers);
        double least = run.calm().smallInTime() - LARGE_TOLERANCE;
        assertTrue(run.calm().largeInTime() >= least, run.simulation().toString());
    }

    @Test(dataProvider = "sizes")
    public void memoryIsLeftFreeForALimitedTime(int routers) {
        WaitingSimulation simulation = play(true, routers).simulation();
        long longest = HoldBack.MAX_URGENT_MILLIS + ROUND_MILLIS;
        assertTrue(simulation.mLongestIdleMillis <= longest, simulation.toString());
    }

    @DataProvider
    Object[][] largeSizes() {
        return new Object[][] {{83}, {300}};
    }

    @Test
    public void asMuchMemoryIsInUseAsWithoutTheOrderAtFewRouters() {
        checkUsedMemory(8);
    }

    @Test(dataProvider = "largeSizes")
    public void asMuchMemoryIsInUseAsWithoutTheOrder(int routers) {
        checkUsedMemory(routers);
    }

    private void checkUsedMemory(int routers) {
        double usedAlone = play(false, routers).simulation().usedShare();
        WaitingSimulation simulation = play(true, routers).simulation();
        assertTrue(simulation.usedShare() >= usedAlone - 0.02, usedAlone + ", " + simulation);
    }

    @DataProvider
    Object[][] troubles() {
        return new Object[][] {
            {"late"}, {"lost"}, {"cut off"}, {"restarting"}, {"silent"},
        };
    }

    /** A stale or missing view costs fairness, and never leaves memory idle for long. */
    @Test(dataProvider = "troubles")
    public void troubleCostsNoMemory(String trouble) {
        Run alone = playTrouble(false, trouble);
        Run run = playTrouble(true, trouble);
        WaitingSimulation simulation = run.simulation();
        double usedAlone = alone.simulation().usedShare();
        assertTrue(simulation.usedShare() >= usedAlone - 0.02, usedAlone + ", " + simulation);
        assertTrue(run.served() >= alone.served() - 0.03, alone.served() + ", " + simulation);
    }

    @DataProvider
    Object[][] reportTroubles() {
        return new Object[][] {{"late"}, {"lost"}, {"silent"}};
    }

    @DataProvider
    Object[][] routerTroubles() {
        return new Object[][] {{"cut off"}, {"restarting"}};
    }

    @Test(dataProvider = "reportTroubles")
    public void lessUrgentRequestsAreServedWithoutReports(String trouble) {
        checkLessUrgent(trouble);
    }

    @Test(dataProvider = "routerTroubles")
    public void lessUrgentRequestsAreServedWithoutATenthOfTheRouters(String trouble) {
        checkLessUrgent(trouble);
    }

    /** Requests at routers that are cut off are served as their routers alone can. */
    private void checkLessUrgent(String trouble) {
        Run run = playTrouble(true, trouble);
        double lessUrgent = run.lessUrgent().connectedInTime();
        boolean anyConnected = run.lessUrgent().mConnectedRequests > 0;
        assertTrue(!anyConnected || lessUrgent >= LESS_URGENT_SERVED, run.simulation().toString());
    }

    private Run playTrouble(boolean shared, String trouble) {
        return mRuns.computeIfAbsent(
                trouble + " " + shared, name -> createTrouble(shared, trouble));
    }

    private static Run createTrouble(boolean shared, String trouble) {
        WaitingSimulation simulation = new WaitingSimulation(7, shared, 83, ENGINES);
        Runnable during = NO_TROUBLE;
        switch (trouble) {
            case "late" -> {
                simulation.mMinDelayMillis = 50;
                simulation.mMaxDelayMillis = 500;
            }
            case "lost" -> simulation.mLoss = 0.3;
            case "cut off" -> during = () -> simulation.cutOff(0.1);
            case "restarting" -> during = () -> simulation.restart(0.1);
            default -> simulation.cutOff(1);
        }
        return play(simulation, during);
    }

    /** One organisation sends seven times its usual, and a less urgent kind has a burst. */
    @Test
    public void floodOfOneOfSixteenOrganisations() {
        List<WaitingWorkload> calm = new ArrayList<>();
        double[] served = new double[2];
        double[] lessUrgent = new double[2];
        for (int shared = 0; shared <= 1; shared++) {
            WaitingSimulation simulation = new WaitingSimulation(11, shared == 1, 83, ENGINES);
            calm.clear();
            for (int number = 1; number < 16; number++) {
                calm.add(simulation.add("org-" + number, 0, URGENT_WAIT, 2));
            }
            WaitingWorkload flood = simulation.add("org-0", 0, URGENT_WAIT, 8);
            WaitingWorkload less =
                    simulation.add("org-1", 2, LESS_URGENT_WAIT, LESS_URGENT_PER_SECOND);
            for (int burst = 0; burst < 4; burst++) {
                simulation.advance(4);
                flood.mPerSecond = 56;
                less.mPerSecond = LESS_URGENT_BURST;
                simulation.advance(5);
                flood.mPerSecond = 8;
                less.mPerSecond = LESS_URGENT_PER_SECOND;
            }
            int granted = 0;
            int requests = 0;
            for (WaitingWorkload each : calm) {
                granted += each.mGranted;
                requests += each.mRequests;
            }
            served[shared] = granted / (double) requests;
            lessUrgent[shared] = less.inTime();
            Reporter.log("calm " + served[shared] + ", " + simulation, true);
        }
        assertTrue(served[1] >= CALM_SERVED, served[0] + " " + served[1]);
        assertTrue(served[1] > served[0], served[0] + " " + served[1]);
        assertTrue(lessUrgent[1] >= LESS_URGENT_SERVED, lessUrgent[1] + "");
    }

    @Test
    public void reportsStaySmallAndNothingIsToldWithoutTheOrder() {
        WaitingSimulation simulation = play(true, 83).simulation();
        assertTrue(simulation.mLargestWaitingBytes <= 4096, simulation.toString());
        assertEquals(play(false, 83).simulation().mEntriesTold, 0);
    }
}
