package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.cluster.Demand;
import org.troutpier.daemon.cluster.PrefillLatencyModel;
import org.troutpier.daemon.decision.RoleChangePolicy.EnginePool;
import org.troutpier.daemon.decision.RoleChangePolicy.Step;

/** Tests when engines change their role. */
public final class RoleChangePolicyTest {

    private static final long MEMORY = 41_000;
    private static final long SWITCH = 6000;
    private static final long TICK = 500;
    private static final double PREFILL_SPEED = 33;
    private static final double OUTPUT = 640;
    private static final double RUN = 3600;

    private RoleChangePolicy mPolicy;
    private long mNow;

    @BeforeMethod
    void start() {
        mPolicy = new RoleChangePolicy();
        mNow = 1000;
    }

    private static Demand demand(double perSecond, double prompt, double output, double millis) {
        double requests = perSecond * Demand.DECAY_MILLIS / 1000;
        return new Demand(
                requests * prompt,
                requests,
                requests * (prompt + output / 2) * millis,
                requests * millis,
                requests * output,
                requests,
                new PrefillLatencyModel(
                        10,
                        10 * PREFILL_SPEED,
                        10,
                        10 * PREFILL_SPEED * PREFILL_SPEED,
                        10 * PREFILL_SPEED),
                0,
                null);
    }

    private static Demand load(double perSecond) {
        return demand(perSecond, 3200, OUTPUT, RUN);
    }

    /** Returns the throughput of a split under unlimited demand. */
    private static double throughput(int prefill, int decode, Demand demand) {
        double decodes = SplitCapacity.decodeThroughput(decode, MEMORY, demand);
        return Math.min(decodes, SplitCapacity.prefillThroughput(prefill, demand));
    }

    /** Applies a constant load and returns the first step other than {@code STAY}. */
    private Step evaluateFor(EnginePool pool, Demand demand, long millis) {
        for (long passed = 0; passed < millis; passed += TICK) {
            mNow += TICK;
            Step step = mPolicy.evaluate(mNow, pool, demand);
            if (step != Step.STAY) {
                return step;
            }
        }
        return Step.STAY;
    }

    private static EnginePool pool(int prefill, int decode) {
        return new EnginePool(prefill, decode, MEMORY, SWITCH, 0);
    }

    @Test
    public void aThirdIsPrefillBeforeTheFirstRequest() {
        assertEquals(mPolicy.evaluate(mNow, pool(3, 3), Demand.NONE), Step.MORE_DECODE);
        assertEquals(mPolicy.evaluate(mNow, pool(0, 2), Demand.NONE), Step.MORE_PREFILL);
        assertEquals(mPolicy.evaluate(mNow, pool(2, 4), Demand.NONE), Step.STAY);
        assertEquals(mPolicy.evaluate(mNow, pool(0, 1), Demand.NONE), Step.STAY);
        assertEquals(mPolicy.evaluate(mNow, pool(1, 0), Demand.NONE), Step.MORE_DECODE);
    }

    @Test
    public void nothingChangesBeforeTheLoadIsMeasured() {
        Demand asked = new Demand(6400, 2, 0, 0, 0, 0, PrefillLatencyModel.NONE, 0, null);
        assertEquals(evaluateFor(pool(3, 3), asked, 10_000), Step.STAY);
    }

    @Test
    public void aShortBurstChangesNothing() {
        EnginePool pool = pool(2, 6);
        assertEquals(evaluateFor(pool, demand(9, 7000, OUTPUT, 2200), 4000), Step.STAY);
        assertEquals(evaluateFor(pool, load(7), 60_000), Step.STAY);
    }

    @Test
    public void repeatedBurstsCauseAChange() {
        EnginePool pool = pool(2, 6);
        int bursts = 0;
        while (evaluateFor(pool, demand(9, 7000, OUTPUT, 2200), 2000) == Step.STAY) {
            assertEquals(evaluateFor(pool, load(7), 5000), Step.STAY);
            bursts++;
        }
        assertTrue(bursts >= 2 && bursts < 10, "bursts " + bursts);
    }

    @Test
    public void whatIsMeasuredSoonAfterAStartIsNotTrusted() {
        Demand shortRunsFirst = demand(14, 3200, 200, 900);
        assertEquals(evaluateFor(pool(1, 2), shortRunsFirst, 9000), Step.STAY);
        assertEquals(evaluateFor(pool(1, 2), load(14), 20_000), Step.STAY);
    }

    @Test
    public void aShiftToLongPromptsCausesAChange() {
        Demand prompts = demand(9, 12_000, 200, 800);
        assertEquals(evaluateFor(pool(1, 5), prompts, 20_000), Step.MORE_PREFILL);
    }

    @Test
    public void aShiftToLongAnswersCausesAChange() {
        Demand answers = demand(8, 900, 6000, 9000);
        assertEquals(evaluateFor(pool(3, 3), answers, 30_000), Step.MORE_DECODE);
    }

    @Test
    public void aLoadWithinCapacityCausesNoChange() {
        assertEquals(evaluateFor(pool(2, 4), load(3), 120_000), Step.STAY);
    }

    @Test
    public void aSurplusPrefillEngineChangesThoughAllIsServed() {
        assertEquals(evaluateFor(pool(3, 3), load(3), 6000), Step.MORE_DECODE);
        assertEquals(mPolicy.engineCount(), 1);
    }

    /**
     * 27 engines with memory for 43,654 tokens; 21 requests per second with prompts of 3,200 and
     * outputs of 4,500 tokens.
     */
    @Test
    public void surplusPrefillEnginesChangeTogetherAndOnlyOnce() {
        Demand demand = demand(21, 3200, 4500, 4200);
        long used = 21 * (3200 + 4500 / 2) * 42 / 10;
        EnginePool before = new EnginePool(9, 18, 43_654, SWITCH, used);
        assertEquals(evaluateFor(before, demand, 6000), Step.MORE_DECODE);
        int surplus = mPolicy.engineCount();
        assertTrue(surplus >= 2 && surplus <= 5, "surplus " + surplus);
        EnginePool after = new EnginePool(9 - surplus, 18 + surplus, 43_654, SWITCH, used);
        assertEquals(evaluateFor(after, demand, 60_000), Step.STAY);
        assertEquals(evaluateFor(after, demand(42, 3200, 4500, 4200), 5000), Step.STAY);
    }

    @Test
    public void noEngineIsSurplusBeforeLongRunsHaveEnded() {
        assertEquals(evaluateFor(pool(3, 3), load(3), 4500), Step.STAY);
    }

    /** The same demand while only short runs have ended. */
    @Test
    public void activeRunsShowTheSurplusBeforeLongRunsHaveEnded() {
        Demand early = demand(21, 3200, 1500, 1500);
        long used = 21 * (3200 + 4500 / 2) * 42 / 10;
        assertEquals(evaluateFor(new EnginePool(9, 18, 43_654, SWITCH, 0), early, 8000), Step.STAY);
        start();
        EnginePool busy = new EnginePool(9, 18, 43_654, SWITCH, used);
        assertEquals(evaluateFor(busy, early, 8000), Step.MORE_DECODE);
    }

    @Test
    public void aSlowChangeNeedsALargerLoss() {
        Demand answers = demand(7, 3200, OUTPUT * 2, RUN * 1.5);
        RoleChangePolicy slow = new RoleChangePolicy();
        slow.recordChange(60_000);
        long now = 0;
        int earlier = 0;
        int later = 0;
        for (int tick = 1; tick < 400; tick++) {
            now += TICK;
            earlier += mPolicy.evaluate(now, pool(3, 3), answers) == Step.STAY ? 1 : 0;
            later += slow.evaluate(now, pool(3, 3), answers) == Step.STAY ? 1 : 0;
        }
        assertTrue(later >= earlier, "ticks without a change: " + earlier + ", " + later);
    }

    @Test
    public void randomChangesKeepBothSidesAndIncreaseThroughput() {
        long seed = System.nanoTime();
        System.out.println("RoleChangePolicyTest seed " + seed);
        Random random = new Random(seed);
        int changes = 0;
        for (int step = 0; step < 20_000; step++) {
            RoleChangePolicy policy = new RoleChangePolicy();
            int engines = 2 + random.nextInt(30);
            int prefill = 1 + random.nextInt(engines - 1);
            EnginePool pool = pool(prefill, engines - prefill);
            Demand demand =
                    demand(
                            1 + random.nextDouble() * 100,
                            100 + random.nextInt(20_000),
                            100 + random.nextInt(10_000),
                            10 + random.nextInt(10_000));
            for (int tick = 1; tick < 80; tick++) {
                Step wanted = policy.evaluate(tick * TICK, pool, demand);
                if (wanted != Step.STAY) {
                    int count = policy.engineCount();
                    int then = prefill + (wanted == Step.MORE_PREFILL ? count : -count);
                    assertTrue(then >= 1 && then < engines, "seed " + seed);
                    assertTrue(
                            throughput(then, engines - then, demand)
                                    > throughput(prefill, engines - prefill, demand),
                            "seed " + seed);
                    changes++;
                    break;
                }
            }
        }
        assertTrue(changes > 100, "changes " + changes + ", seed " + seed);
    }
}
