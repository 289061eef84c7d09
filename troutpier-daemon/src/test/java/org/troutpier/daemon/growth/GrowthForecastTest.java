package org.troutpier.daemon.growth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.GrowthSimulation.Rule;

/** Plays engines that are full of growing runs, and checks single decisions. */
public final class GrowthForecastTest {

    private static final int ROUTERS = 23;
    private static final int SEEDS = 8;
    private static final long MEMORY = 68_000;
    private static final long PROMPT = 5000;
    private static final long MAX_OUTPUT = 7800;
    private static final OutputSample SAMPLE = new OutputSample(100, 4200, 4200 * 4200 * 1.2, 0, 0);
    private static final OutputDistribution OUTPUT = new OutputDistribution(SAMPLE, MAX_OUTPUT, 0);

    private final UpstreamEntry mEngine = engine(UpstreamIncarnation.of("engine"));

    /** The runs that other routers report. */
    private record Reported(int runs, long usedTokens, long correction)
            implements GrowthForecast.PeerRuns {

        static final Reported NOTHING = new Reported(0, 0, 0);

        @Override
        public int count(UpstreamEntry engine) {
            return runs;
        }

        @Override
        public long tokens(UpstreamEntry engine) {
            return usedTokens;
        }

        @Override
        public long restCorrection(UpstreamEntry engine) {
            return correction;
        }
    }

    private static UpstreamEntry engine(UpstreamIncarnation incarnation) {
        return new UpstreamEntry(
                incarnation,
                "service",
                new Address("127.0.0.1", 1),
                new HallId("hall"),
                12,
                UpstreamEntry.Role.DECODE,
                false);
    }

    /** Memory of an engine, and arrivals for each event. */
    @DataProvider
    Object[][] moderateLoads() {
        return new Object[][] {{24_000, 0.2}, {68_000, 0.7}};
    }

    /** Outcomes over several seeds. */
    private record Outcome(long completedTokens, int preempted, int refused) {

        static Outcome of(Rule rule, long memory, double arrivals) {
            Outcome sum = new Outcome(0, 0, 0);
            for (long seed = 1; seed <= SEEDS; seed++) {
                GrowthSimulation each =
                        new GrowthSimulation(
                                seed,
                                rule,
                                new GrowthSimulation.Load(memory, 5000, 4200, arrivals),
                                ROUTERS);
                each.play(1500);
                sum =
                        new Outcome(
                                sum.completedTokens + each.mCompletedTokens,
                                sum.preempted + each.mPreempted,
                                sum.refused + each.mRefused);
            }
            return sum;
        }
    }

    @Test(dataProvider = "moderateLoads")
    public void moderateLoadHasFewerRefused(long memory, double moderate) {
        Outcome margin = Outcome.of(Rule.MARGIN, memory, moderate);
        Outcome forecast = Outcome.of(Rule.FORECAST, memory, moderate);
        String text = margin + " / " + forecast;
        assertTrue(forecast.refused() < margin.refused(), text);
        assertTrue(forecast.completedTokens() > margin.completedTokens(), text);
    }

    @Test
    public void overloadHasFewerPreempted() {
        Outcome margin = Outcome.of(Rule.MARGIN, MEMORY, 3);
        Outcome forecast = Outcome.of(Rule.FORECAST, MEMORY, 3);
        assertTrue(forecast.preempted() < margin.preempted(), margin + " / " + forecast);
    }

    @Test
    public void manyRunsHaveFewerPreempted() {
        Outcome margin = Outcome.of(Rule.MARGIN, 430_000, 10);
        Outcome forecast = Outcome.of(Rule.FORECAST, 430_000, 10);
        assertTrue(forecast.preempted() < margin.preempted(), margin + " / " + forecast);
    }

    @Test
    public void hintsLeaveRoomForMore() {
        Outcome without = Outcome.of(Rule.FORECAST, MEMORY, 3);
        Outcome with = Outcome.of(Rule.FORECAST_WITH_HINTS, MEMORY, 3);
        assertTrue(with.completedTokens() > without.completedTokens(), without + " / " + with);
    }

    private GrowthForecast forecast(ActiveRuns own, GrowthForecast.PeerRuns peers, double caution) {
        return new GrowthForecast(own, peers, OUTPUT, OUTPUT, MEMORY, caution);
    }

    /** Adds six runs that have made a part of the maximum output. */
    private ActiveRuns sixRuns(long madeTokens) {
        ActiveRuns runs = new ActiveRuns();
        for (int run = 0; run < 6; run++) {
            runs.begin(mEngine.incarnation(), OUTPUT, OUTPUT.residualMean(), PROMPT, madeTokens);
        }
        return runs;
    }

    @Test
    public void roomDependsOnTheProgressOfTheRuns() {
        long used = 6 * 7600;
        GrowthForecast young = forecast(sixRuns(600), Reported.NOTHING, 1);
        GrowthForecast old = forecast(sixRuns(6000), Reported.NOTHING, 1);
        assertFalse(young.admits(mEngine, used, PROMPT));
        assertTrue(old.admits(mEngine, used, PROMPT));
        assertFalse(old.admits(mEngine, MEMORY - PROMPT + 1, PROMPT));
        assertTrue(young.admits(mEngine, 0, PROMPT));
    }

    @Test
    public void runsOfOtherRoutersCountWithTheirExpectedRest() {
        long used = 6 * 8000;
        ActiveRuns none = new ActiveRuns();
        assertTrue(forecast(none, new Reported(6, used, -6000), 1).admits(mEngine, used, PROMPT));
        assertFalse(forecast(none, new Reported(6, used, 12_000), 1).admits(mEngine, used, PROMPT));
        assertEquals(
                forecast(none, new Reported(6, used, 0), 1).admits(mEngine, used, PROMPT),
                forecast(none, new Reported(6, used, 100), 1).admits(mEngine, used, PROMPT));
    }

    @Test
    public void restartedEngineHasNoRuns() {
        ActiveRuns runs = sixRuns(600);
        UpstreamEntry restarted = engine(new UpstreamIncarnation(mEngine.id(), 5));
        assertEquals(runs.restCorrection(restarted.incarnation()), 0);
        assertTrue(runs.restCorrection(mEngine.incarnation()) > 0);
        assertTrue(forecast(runs, Reported.NOTHING, 1).admits(restarted, 0, PROMPT));
    }

    @Test
    public void endedRunsAreForgotten() {
        ActiveRuns runs = new ActiveRuns();
        ActiveRuns.Run run =
                runs.begin(mEngine.incarnation(), OUTPUT, OUTPUT.residualMean(), PROMPT, 0);
        long atStart = runs.restCorrection(mEngine.incarnation());
        run.grow(6000);
        assertTrue(runs.restCorrection(mEngine.incarnation()) < atStart);
        run.end();
        run.end();
        assertTrue(runs.at(mEngine.incarnation()).isEmpty());
    }

    @Test
    public void pausesMakeAdmissionRarer() {
        long used = 6 * 7600;
        int admitted = 0;
        int admittedAfterPauses = 0;
        for (long made = 0; made < MAX_OUTPUT; made += 100) {
            ActiveRuns runs = sixRuns(made);
            admitted += forecast(runs, Reported.NOTHING, 1).admits(mEngine, used, PROMPT) ? 1 : 0;
            admittedAfterPauses +=
                    forecast(runs, Reported.NOTHING, 9).admits(mEngine, used, PROMPT) ? 1 : 0;
        }
        assertTrue(admittedAfterPauses < admitted, admittedAfterPauses + " of " + admitted);
    }
}
