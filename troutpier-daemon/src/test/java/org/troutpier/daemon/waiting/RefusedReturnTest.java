package org.troutpier.daemon.waiting;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays a burst of five seconds beyond the capacity, followed by half the capacity, and checks what
 * the callers get.
 */
public final class RefusedReturnTest {

    private static final double BURST = 1.5;
    private static final double HALF = 0.5;

    /** The worth of a late answer, and the loss by a second refusal, in parts of one in time. */
    private static final double LATE_WORTH = 0.2;

    private static final double SECOND_REFUSAL_LOSS = 0.3;

    /** Outcomes of the requests of one run. */
    private record Outcome(
            String text, double inTime, double worth, double echo, double refusedAgain) {

        /** Returns the outcome of a burst; echo is the part refused at once after its end. */
        static Outcome of(BurstSimulation simulation, Runnable duringBurst) {
            simulation.play(HALF, 10_000);
            simulation.play(BURST, 2500);
            duringBurst.run();
            simulation.play(BURST, 2500);
            int refusedAtOnce = simulation.mRefusedAtOnce;
            int arrived = simulation.mArrived;
            simulation.play(HALF, 10_000);
            double echo =
                    (simulation.mRefusedAtOnce - refusedAtOnce)
                            / (double) (simulation.mArrived - arrived);
            simulation.play(0, 10_000);
            double count = simulation.mArrived;
            double worth =
                    simulation.mInTime
                            + LATE_WORTH * simulation.mLate
                            - SECOND_REFUSAL_LOSS * simulation.mRefusedAgain;
            return new Outcome(
                    simulation.toString(),
                    simulation.mInTime / count,
                    worth / count,
                    echo,
                    simulation.mRefusedAgain / count);
        }
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1, 8}, {2, 8}, {3, 23}, {4, 83}, {5, 83}};
    }

    private static Outcome play(long seed, boolean ordered, int routers, long reportMillis) {
        return Outcome.of(new BurstSimulation(seed, ordered, routers, reportMillis), () -> {});
    }

    @Test(dataProvider = "fleets")
    public void burstHasNoEcho(long seed, int routers) {
        Outcome before = play(seed, false, routers, 100);
        Outcome ordered = play(seed, true, routers, 100);
        String text = before.text() + " / " + ordered.text();
        assertTrue(before.echo() > 0.05, text);
        assertTrue(ordered.echo() < 0.01, text);
        assertTrue(ordered.inTime() > before.inTime(), text);
        assertTrue(ordered.worth() > before.worth(), text);
    }

    @Test
    public void oldReportsBringBackNoEcho() {
        Outcome ordered = play(6, true, 23, 500);
        assertTrue(ordered.echo() < 0.01, ordered.text());
        assertTrue(ordered.worth() > play(6, false, 23, 500).worth(), ordered.text());
    }

    @Test
    public void routersThatAreCutOffOrRestartBringBackNoEcho() {
        BurstSimulation cutOff = new BurstSimulation(7, true, 20, 100);
        Outcome withoutReports = Outcome.of(cutOff, () -> cutOff.cutOff(2));
        assertTrue(withoutReports.echo() < 0.01, withoutReports.text());
        BurstSimulation restarted = new BurstSimulation(7, true, 20, 100);
        Outcome afterRestart = Outcome.of(restarted, () -> restarted.restart(2));
        assertTrue(afterRestart.echo() < 0.01, afterRestart.text());
    }
}
