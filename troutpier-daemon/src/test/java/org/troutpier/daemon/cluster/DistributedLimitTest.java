package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.daemon.cluster.LimitSimulation.Strategy;
import org.troutpier.daemon.cluster.LimitSimulation.Workload;

/**
 * Usage limits of organisations over 8, 60 and 300 routers, with the users' load: 29,000 tokens a
 * second in requests of 3,300, and an organisation that sends a flood of requests.
 */
public final class DistributedLimitTest {

    private static final double RATE = 29_000;
    private static final double LARGE_RATE = 155_000;
    private static final double MEAN_COST = 3300;
    private static final long VIEW_DELAY_MILLIS = 150;

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{8}, {60}, {300}};
    }

    @DataProvider
    Object[][] sizesAndRates() {
        return new Object[][] {
            {8, RATE}, {60, RATE}, {300, RATE}, {8, LARGE_RATE}, {60, LARGE_RATE},
        };
    }

    private static String summary(String label, Workload workload) {
        return String.format(
                Locale.ROOT,
                "%s: most %.3f of the bound, refused %d of %d",
                label,
                workload.mMaxBoundRatio,
                workload.mRefused,
                workload.mRequests);
    }

    @Test(dataProvider = "sizes")
    public void requestsBelowTheLimitAreAdmitted(int routers) {
        LimitSimulation simulation =
                new LimitSimulation(7, Strategy.TOLD, routers, VIEW_DELAY_MILLIS);
        Workload calm = simulation.addWorkload("calm", RATE, MEAN_COST, 0.7);
        simulation.startRouters();
        simulation.advance(60);
        assertTrue(calm.mRefused * 100 <= calm.mRequests, summary("calm", calm));
    }

    /** After all routers lost power, an organisation well below its rate continues to be served. */
    @Test(dataProvider = "sizesAndRates")
    public void requestsBelowTheRateAreAdmittedAfterAllRoutersLosePower(int routers, double rate) {
        LimitSimulation simulation =
                new LimitSimulation(7, Strategy.TOLD, routers, VIEW_DELAY_MILLIS);
        Workload calm = simulation.addWorkload("calm", rate, MEAN_COST, 0.6);
        simulation.startRouters();
        simulation.advance(20);
        simulation.kill(1, 1200);
        simulation.advance(1.6);
        long requests = calm.mRequests;
        long refused = calm.mRefused;
        simulation.advance(10);
        long refusedAfter = calm.mRefused - refused;
        assertTrue(
                refusedAfter * 20 <= calm.mRequests - requests,
                summary("calm", calm) + ", since " + refusedAfter);
    }

    /**
     * A fixed share for each router refuses about half of what fits into the limit; therefore
     * routers share their usage.
     */
    @Test
    public void aFixedShareRefusesRequestsBelowTheLimit() {
        LimitSimulation simulation =
                new LimitSimulation(7, Strategy.FIXED_PART, 60, VIEW_DELAY_MILLIS);
        Workload calm = simulation.addWorkload("calm", RATE, MEAN_COST, 0.7);
        simulation.startRouters();
        simulation.advance(60);
        assertTrue(calm.mRefused * 5 > calm.mRequests, summary("fixed part", calm));
    }

    @Test(dataProvider = "sizesAndRates")
    public void aFloodStaysUnderTheBoundThroughPartitionsKillsFreezesAndChangedLimits(
            int routers, double rate) {
        long seed = new Random().nextLong();
        for (int round = 0; round < 4; round++) {
            Workload flood = simulateFlood(seed + round, Strategy.TOLD, routers, -1, rate);
            String label = "seed " + (seed + round) + " routers " + routers;
            assertTrue(flood.mMaxBoundRatio <= 1, summary(label, flood));
            assertTrue(flood.mAdmittedCost > 0.3 * 90 * rate, summary(label, flood));
        }
    }

    /** A sequence in which a power loss during a flood reached 1.019 of the bound. */
    @Test
    public void aLargeFloodStaysUnderTheBoundAfterAPowerLoss() {
        Workload flood = simulateFlood(1137076566003947008L, Strategy.TOLD, 8, -1, LARGE_RATE);
        assertTrue(flood.mMaxBoundRatio <= 1, summary("flood", flood));
    }

    /**
     * Simulates 90 seconds of a flood at six times the limit with one fault after the other.
     *
     * @param fault the fault of each round; negative for a random one
     */
    private static Workload simulateFlood(
            long seed, Strategy strategy, int routers, int fault, double rate) {
        Random random = new Random(seed);
        LimitSimulation simulation =
                new LimitSimulation(seed, strategy, routers, VIEW_DELAY_MILLIS);
        Workload flood = simulation.addWorkload("flood", rate, MEAN_COST, 6);
        simulation.startRouters();
        for (int round = 0; round < 9; round++) {
            int drawn = fault < 0 ? random.nextInt(6) : fault;
            switch (drawn) {
                case 0 -> simulation.kill(1, 1200);
                case 1 -> simulation.kill(0.4, 1200);
                case 2 -> simulation.partition(0.35, false);
                case 3 -> simulation.partition(0.35, true);
                case 4 -> simulation.freeze(0.2, 2500);
                default -> simulation.changeLimit(flood, rate * (0.4 + random.nextDouble()));
            }
            simulation.advance(6);
            simulation.heal();
            simulation.advance(4);
        }
        return flood;
    }

    /** A sequence of faults during a flood that reached 1.040 of the bound. */
    @Test
    public void aLargeFloodOverSixtyRoutersStaysUnderTheBound() {
        Workload flood = simulateFlood(3483311064977391828L, Strategy.TOLD, 60, -1, LARGE_RATE);
        assertTrue(flood.mMaxBoundRatio <= 1, summary("flood", flood));
    }

    /** Measures how much of the bound each fault takes. */
    @Test(groups = "measurement")
    public void compareFaults() {
        for (int fault = 0; fault < 6; fault++) {
            double worst = 0;
            for (int seed = 0; seed < 6; seed++) {
                worst =
                        Math.max(
                                worst,
                                simulateFlood(seed, Strategy.TOLD, 60, fault, RATE).mMaxBoundRatio);
            }
            System.out.printf(
                    Locale.ROOT, "limits trouble=%d most of the bound=%.3f%n", fault, worst);
        }
    }

    /** Measures all strategies with the same calls and faults. */
    @Test(groups = "measurement")
    public void compareStrategies() {
        for (int routers : new int[] {8, 60, 300}) {
            for (Strategy strategy : Strategy.values()) {
                LimitSimulation calmSimulation =
                        new LimitSimulation(11, strategy, routers, VIEW_DELAY_MILLIS);
                Workload calm = calmSimulation.addWorkload("calm", RATE, MEAN_COST, 0.7);
                calmSimulation.startRouters();
                calmSimulation.advance(60);
                double worst = 0;
                double admitted = 0;
                for (int seed = 0; seed < 6; seed++) {
                    Workload flood = simulateFlood(seed, strategy, routers, -1, RATE);
                    worst = Math.max(worst, flood.mMaxBoundRatio);
                    admitted += flood.mAdmittedCost / 6 / 90 / RATE;
                }
                System.out.printf(
                        Locale.ROOT,
                        "limits routers=%d way=%s refused below the limit=%.3f"
                                + " flood: most of the bound=%.3f run of the rate=%.3f%n",
                        routers,
                        strategy,
                        calm.mRefused / (double) calm.mRequests,
                        worst,
                        admitted);
            }
        }
    }
}
