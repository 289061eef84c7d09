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

/** When an engine changes its role. */
public final class RoleChangePolicyTest {

    private static final long MEMORY = 41_000;
    private static final long SWITCH = 6000;
    private static final long TICK = 500;
    private static final double PACE = 33;
    private static final double OUTPUT = 640;
    private static final double RUN = 3600;

    private RoleChangePolicy mInvestment;
    private long mNow;

    @BeforeMethod
    void start() {
        mInvestment = new RoleChangePolicy();
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
                new PrefillLatencyModel(10, 10 * PACE, 10, 10 * PACE * PACE, 10 * PACE));
    }

    private static Demand load(double perSecond) {
        return demand(perSecond, 3200, OUTPUT, RUN);
    }

    /** How many requests a split serves of a demand that has no end. */
    private static double capacity(int prefill, int decode, Demand demand) {
        double made = SplitCapacity.made(decode, MEMORY, demand);
        return Math.min(made, SplitCapacity.read(prefill, demand));
    }

    /** Has the same load for some time; returns the first step other than to stay. */
    private Step lasting(EnginePool staffing, Demand demand, long millis) {
        for (long passed = 0; passed < millis; passed += TICK) {
            mNow += TICK;
            Step step = mInvestment.evaluate(mNow, staffing, demand);
            if (step != Step.STAY) {
                return step;
            }
        }
        return Step.STAY;
    }

    private static EnginePool staffing(int prefill, int decode) {
        return new EnginePool(prefill, decode, MEMORY, SWITCH, 0);
    }

    @Test
    public void aThirdReadsPromptsBeforeAnythingIsAsked() {
        assertEquals(mInvestment.evaluate(mNow, staffing(3, 3), Demand.NONE), Step.MORE_DECODE);
        assertEquals(mInvestment.evaluate(mNow, staffing(0, 2), Demand.NONE), Step.MORE_PREFILL);
        assertEquals(mInvestment.evaluate(mNow, staffing(2, 4), Demand.NONE), Step.STAY);
        assertEquals(mInvestment.evaluate(mNow, staffing(0, 1), Demand.NONE), Step.STAY);
        assertEquals(mInvestment.evaluate(mNow, staffing(1, 0), Demand.NONE), Step.MORE_DECODE);
    }

    @Test
    public void nothingChangesUnderALoadThatIsNotMeasuredYet() {
        Demand asked = new Demand(6400, 2, 0, 0, 0, 0, PrefillLatencyModel.NONE);
        assertEquals(lasting(staffing(3, 3), asked, 10_000), Step.STAY);
    }

    @Test
    public void aBurstThatIsOverBeforeItPaysChangesNothing() {
        EnginePool staffing = staffing(2, 6);
        assertEquals(lasting(staffing, demand(9, 7000, OUTPUT, 2200), 4000), Step.STAY);
        assertEquals(lasting(staffing, load(7), 60_000), Step.STAY);
    }

    @Test
    public void burstsThatKeepComingAreFollowedInTheEnd() {
        EnginePool staffing = staffing(2, 6);
        int bursts = 0;
        while (lasting(staffing, demand(9, 7000, OUTPUT, 2200), 2000) == Step.STAY) {
            assertEquals(lasting(staffing, load(7), 5000), Step.STAY);
            bursts++;
        }
        assertTrue(bursts >= 2 && bursts < 10, "bursts " + bursts);
    }

    @Test
    public void whatIsMeasuredSoonAfterAStartIsNotTrusted() {
        Demand shortRunsFirst = demand(14, 3200, 200, 900);
        assertEquals(lasting(staffing(1, 2), shortRunsFirst, 9000), Step.STAY);
        assertEquals(lasting(staffing(1, 2), load(14), 20_000), Step.STAY);
    }

    @Test
    public void aMixThatHasShiftedToLongPromptsIsFollowed() {
        Demand prompts = demand(9, 12_000, 200, 800);
        assertEquals(lasting(staffing(1, 5), prompts, 20_000), Step.MORE_PREFILL);
    }

    @Test
    public void aMixThatHasShiftedToLongAnswersIsFollowed() {
        Demand answers = demand(8, 900, 6000, 9000);
        assertEquals(lasting(staffing(3, 3), answers, 30_000), Step.MORE_DECODE);
    }

    @Test
    public void whatIsServedAnywayIsNoReason() {
        assertEquals(lasting(staffing(2, 4), load(3), 120_000), Step.STAY);
    }

    @Test
    public void aReaderThatWouldBeFullInNoBurstDecodesThoughAllIsServed() {
        assertEquals(lasting(staffing(3, 3), load(3), 6000), Step.MORE_DECODE);
        assertEquals(mInvestment.engineCount(), 1);
    }

    /** 27 engines with memory for 43,654 tokens, and 21 requests a second of 3,200 and 4,500. */
    @Test
    public void sparedReadersChangeAtOnceAndOnlyOnce() {
        Demand demand = demand(21, 3200, 4500, 4200);
        long used = 21 * (3200 + 4500 / 2) * 42 / 10;
        EnginePool before = new EnginePool(9, 18, 43_654, SWITCH, used);
        assertEquals(lasting(before, demand, 6000), Step.MORE_DECODE);
        int spare = mInvestment.engineCount();
        assertTrue(spare >= 2 && spare <= 5, "spare " + spare);
        EnginePool after = new EnginePool(9 - spare, 18 + spare, 43_654, SWITCH, used);
        assertEquals(lasting(after, demand, 60_000), Step.STAY);
        assertEquals(lasting(after, demand(42, 3200, 4500, 4200), 5000), Step.STAY);
    }

    @Test
    public void noReaderIsSpareBeforeShortAndLongRunsHaveEnded() {
        assertEquals(lasting(staffing(3, 3), load(3), 4500), Step.STAY);
    }

    /** The same demand, of which only the short runs have ended. */
    @Test
    public void whatIsUnderWayTellsThatReadersAreSpareBeforeLongRunsHaveEnded() {
        Demand early = demand(21, 3200, 1500, 1500);
        long used = 21 * (3200 + 4500 / 2) * 42 / 10;
        assertEquals(lasting(new EnginePool(9, 18, 43_654, SWITCH, 0), early, 8000), Step.STAY);
        start();
        EnginePool busy = new EnginePool(9, 18, 43_654, SWITCH, used);
        assertEquals(lasting(busy, early, 8000), Step.MORE_DECODE);
    }

    @Test
    public void aChangeThatTookLongMustPayMore() {
        Demand answers = demand(7, 3200, OUTPUT * 2, RUN * 1.5);
        RoleChangePolicy slow = new RoleChangePolicy();
        slow.recordChange(60_000);
        long now = 0;
        int earlier = 0;
        int later = 0;
        for (int tick = 1; tick < 400; tick++) {
            now += TICK;
            earlier += mInvestment.evaluate(now, staffing(3, 3), answers) == Step.STAY ? 1 : 0;
            later += slow.evaluate(now, staffing(3, 3), answers) == Step.STAY ? 1 : 0;
        }
        assertTrue(later >= earlier, "ticks without a change: " + earlier + ", " + later);
    }

    @Test
    public void atRandomBothSidesAreAlwaysServedAndAChangeServesMore() {
        long seed = System.nanoTime();
        System.out.println("RoleChangePolicyTest seed " + seed);
        Random random = new Random(seed);
        int changes = 0;
        for (int step = 0; step < 20_000; step++) {
            RoleChangePolicy investment = new RoleChangePolicy();
            int engines = 2 + random.nextInt(30);
            int prefill = 1 + random.nextInt(engines - 1);
            EnginePool staffing = staffing(prefill, engines - prefill);
            Demand demand =
                    demand(
                            1 + random.nextDouble() * 100,
                            100 + random.nextInt(20_000),
                            100 + random.nextInt(10_000),
                            10 + random.nextInt(10_000));
            for (int tick = 1; tick < 80; tick++) {
                Step wanted = investment.evaluate(tick * TICK, staffing, demand);
                if (wanted != Step.STAY) {
                    int count = investment.engineCount();
                    int then = prefill + (wanted == Step.MORE_PREFILL ? count : -count);
                    assertTrue(then >= 1 && then < engines, "seed " + seed);
                    assertTrue(
                            capacity(then, engines - then, demand)
                                    > capacity(prefill, engines - prefill, demand),
                            "seed " + seed);
                    changes++;
                    break;
                }
            }
        }
        assertTrue(changes > 100, "changes " + changes + ", seed " + seed);
    }
}
