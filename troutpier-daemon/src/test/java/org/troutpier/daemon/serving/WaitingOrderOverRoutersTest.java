package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.daemon.serving.WaitingSimulation.Workload;
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

    /** The time in which a router learns of free memory and its next round has ended. */
    private static final long ROUND_MILLIS = 150;

    private Workload mCalm;
    private Workload mFlood;
    private Workload mLessUrgent;

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {83}, {300}};
    }

    /** Four floods of 5 s, in which the less urgent kind has bursts of its own. */
    private WaitingSimulation play(boolean shared, int routers) {
        return play(new WaitingSimulation(7, shared, routers, ENGINES), () -> {});
    }

    private WaitingSimulation play(WaitingSimulation simulation, Runnable trouble) {
        mCalm = simulation.add("calm", 0, URGENT_WAIT, 21);
        mFlood = simulation.add("flood", 0, URGENT_WAIT, 5);
        mLessUrgent = simulation.add("calm", 2, LESS_URGENT_WAIT, 0.66);
        for (int burst = 0; burst < 4; burst++) {
            simulation.advance(3);
            mFlood.mPerSecond = 60;
            mLessUrgent.mPerSecond = 4;
            simulation.advance(2);
            trouble.run();
            simulation.advance(3);
            mFlood.mPerSecond = 5;
            mLessUrgent.mPerSecond = 0.66;
            simulation.advance(2);
        }
        System.out.println("PLAYED " + simulation);
        return simulation;
    }

    @Test(dataProvider = "sizes")
    public void lessUrgentRequestsPrecedeUrgentOnesOnlyWhenDueAndAreServed(int routers) {
        WaitingSimulation simulation = play(true, routers);
        long notDue = simulation.mInversions - simulation.mDueInversions;
        assertTrue(notDue * 20 <= mLessUrgent.mGranted, simulation.toString());
        assertTrue(mLessUrgent.inTime() >= LESS_URGENT_SERVED, simulation.toString());
    }

    @Test(dataProvider = "sizes")
    public void aFloodDoesNotTakeTheMemoryOfOtherOrganisations(int routers) {
        WaitingSimulation simulation = play(true, routers);
        assertTrue(mCalm.inTime() >= CALM_SERVED, simulation.toString());
    }

    /** The largest tenth of the requests of an organisation within its share. */
    @Test(dataProvider = "sizes")
    public void largeRequestsAreServedLikeTheOthers(int routers) {
        WaitingSimulation simulation = play(true, routers);
        assertTrue(mCalm.largeInTime() >= mCalm.smallInTime() - 0.1, simulation.toString());
    }

    /** Memory that is left to others is used, and no less is in use than without the order. */
    @Test(dataProvider = "sizes")
    public void memoryIsNotIdleWhileRequestsWait(int routers) {
        double usedAlone = play(false, routers).usedShare();
        WaitingSimulation simulation = play(true, routers);
        assertTrue(simulation.usedShare() >= usedAlone - 0.02, simulation.toString());
        long longest = 2 * HoldBack.MAX_PATIENT_MILLIS + ROUND_MILLIS;
        assertTrue(simulation.mLongestIdleMillis <= longest, simulation.toString());
    }

    @DataProvider
    Object[][] troubles() {
        return new Object[][] {
            {"late"}, {"lost"}, {"cut off"}, {"restarting"}, {"silent"},
        };
    }

    /** A stale or missing view costs fairness, and never leaves memory idle for long. */
    @Test(dataProvider = "troubles")
    public void troubleDoesNotLeaveMemoryIdle(String trouble) {
        List<WaitingSimulation> played = new ArrayList<>();
        for (boolean shared : new boolean[] {false, true}) {
            WaitingSimulation simulation = new WaitingSimulation(7, shared, 83, ENGINES);
            Runnable during = () -> {};
            switch (trouble) {
                case "late" -> {
                    simulation.mMinDelayMillis = 50;
                    simulation.mMaxDelayMillis = 500;
                }
                case "lost" -> simulation.mLoss = 0.3;
                case "cut off" -> during = () -> simulation.cutOff(0.1);
                case "restarting" -> during = () -> simulation.restart(0.1);
                default -> during = () -> simulation.cutOff(1);
            }
            played.add(play(simulation, during));
        }
        WaitingSimulation alone = played.get(0);
        WaitingSimulation simulation = played.get(1);
        assertTrue(simulation.usedShare() >= alone.usedShare() - 0.03, simulation.toString());
        assertTrue(mLessUrgent.inTime() >= LESS_URGENT_SERVED, simulation.toString());
    }

    /** One organisation sends seven times its usual, and a less urgent kind has a burst. */
    @Test
    public void floodOfOneOfSixteenOrganisations() {
        List<Workload> calm = new ArrayList<>();
        double[] served = new double[2];
        double[] lessUrgent = new double[2];
        for (int shared = 0; shared <= 1; shared++) {
            WaitingSimulation simulation = new WaitingSimulation(11, shared == 1, 83, ENGINES);
            calm.clear();
            for (int number = 1; number < 16; number++) {
                calm.add(simulation.add("org-" + number, 0, URGENT_WAIT, 2));
            }
            Workload flood = simulation.add("org-0", 0, URGENT_WAIT, 8);
            Workload less = simulation.add("org-1", 2, LESS_URGENT_WAIT, 0.66);
            for (int burst = 0; burst < 4; burst++) {
                simulation.advance(4);
                flood.mPerSecond = 56;
                less.mPerSecond = 5;
                simulation.advance(5);
                flood.mPerSecond = 8;
                less.mPerSecond = 0.66;
            }
            int granted = 0;
            int requests = 0;
            for (Workload each : calm) {
                granted += each.mGranted;
                requests += each.mRequests;
            }
            served[shared] = granted / (double) requests;
            lessUrgent[shared] = less.inTime();
            System.out.println("PLAYED FLOOD " + served[shared] + " " + simulation);
        }
        assertTrue(served[1] >= CALM_SERVED, served[0] + " " + served[1]);
        assertTrue(served[1] > served[0], served[0] + " " + served[1]);
        assertTrue(lessUrgent[1] >= LESS_URGENT_SERVED, lessUrgent[1] + "");
    }

    @Test
    public void reportsStaySmallAndNothingIsToldWithoutTheOrder() {
        WaitingSimulation simulation = play(true, 83);
        assertTrue(simulation.mLargestWaitingBytes <= 4096, simulation.toString());
        WaitingSimulation alone = play(false, 83);
        assertEquals(alone.mLargestWaitingBytes, 13, alone.toString());
    }
}
