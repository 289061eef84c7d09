package org.troutpier.daemon.growth;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.decision.GrowthMargin;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Engines whose runs grow by events of equal size, and several routers that admit runs there by the
 * real decisions, in virtual time. A run is determined by its seed.
 */
final class GrowthSimulation {

    private static final long EVENT_TOKENS = 60;
    private static final long EVENT_MILLIS = 63;
    private static final double SPREAD = 0.5;
    private static final double HINT_SPREAD = 0.4;
    private static final int ENGINES = 6;

    private final Random mRandom;
    private final Load mLoad;
    private final Rule mRule;
    private final GrowthMargin mMargin = new GrowthMargin();
    private final List<ActiveRuns> mRouters = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private long mNow;
    private double mOutputs;
    private double mSquares;
    private double mHintErrors;

    int mCompleted;
    long mCompletedTokens;
    int mPreempted;
    int mRefused;

    /** How room for growth is decided. */
    enum Rule {
        MARGIN,
        FORECAST,
        FORECAST_WITH_HINTS
    }

    /** What runs at the engines. */
    record Load(long memory, double meanPrompt, double meanOutput, double arrivalsPerEvent) {

        long maxOutput() {
            return (long) (meanOutput * 1.86);
        }
    }

    /** One run. */
    private record Run(ActiveRuns.Run progress, long prompt, long output, long hint, long[] made) {

        long tokens() {
            return prompt + made[0];
        }
    }

    /** One engine. */
    private static final class Engine {
        final UpstreamEntry mEntry;
        final List<Run> mRuns = new ArrayList<>();

        Engine(int number) {
            mEntry =
                    new UpstreamEntry(
                            UpstreamIncarnation.of("engine-" + number),
                            "service",
                            new Address("127.0.0.1", 1),
                            new HallId("hall"),
                            100,
                            UpstreamEntry.Role.DECODE,
                            false);
        }

        long usedTokens() {
            long sum = 0;
            for (Run run : mRuns) {
                sum += run.tokens();
            }
            return sum;
        }
    }

    GrowthSimulation(long seed, Rule rule, Load load, int routers) {
        mRandom = new Random(seed);
        mRule = rule;
        mLoad = load;
        for (int router = 0; router < routers; router++) {
            mRouters.add(new ActiveRuns());
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            mEngines.add(new Engine(engine));
        }
    }

    /** Plays events of all runs. */
    void play(int events) {
        for (int event = 0; event < events; event++) {
            mNow += EVENT_MILLIS;
            mEngines.forEach(this::advance);
            double arrivals = mLoad.arrivalsPerEvent();
            while (mRandom.nextDouble() < arrivals) {
                arrivals--;
                arrive();
            }
        }
    }

    private void advance(Engine engine) {
        for (Run run : List.copyOf(engine.mRuns)) {
            run.made()[0] += EVENT_TOKENS;
            run.progress().grow(EVENT_TOKENS);
            if (run.made()[0] >= run.output()) {
                complete(engine, run);
            }
        }
        while (engine.usedTokens() > mLoad.memory()) {
            Run newest = engine.mRuns.get(engine.mRuns.size() - 1);
            engine.mRuns.remove(newest);
            newest.progress().end();
            mMargin.recordPause(mNow);
            mPreempted++;
        }
    }

    private void complete(Engine engine, Run run) {
        engine.mRuns.remove(run);
        run.progress().end();
        mCompleted++;
        mCompletedTokens += run.prompt() + run.output();
        mOutputs += run.output();
        mSquares += (double) run.output() * run.output();
        double error = Math.log(run.hint() / (double) run.output());
        mHintErrors += error * error;
    }

    private OutputSample sample() {
        double runs = Math.max(1, mCompleted);
        return new OutputSample(
                mCompleted, mOutputs / runs, mSquares / runs, mCompleted, mHintErrors / runs);
    }

    private void arrive() {
        long prompt = (long) Math.min(2.2 * mLoad.meanPrompt(), spread(mLoad.meanPrompt(), SPREAD));
        double output = Math.min(mLoad.maxOutput(), spread(mLoad.meanOutput(), SPREAD));
        long hint = (long) spread(output, HINT_SPREAD);
        int number = mRandom.nextInt(mRouters.size());
        ActiveRuns router = mRouters.get(number);
        OutputDistribution usual = new OutputDistribution(sample(), mLoad.maxOutput(), 0);
        OutputDistribution own =
                mRule == Rule.FORECAST_WITH_HINTS
                        ? new OutputDistribution(sample(), mLoad.maxOutput(), hint)
                        : usual;
        MemoryAdmission room = room(router, usual, own);
        Engine least = mEngines.get(0);
        for (Engine engine : mEngines) {
            least = engine.usedTokens() < least.usedTokens() ? engine : least;
        }
        if (!room.admits(least.mEntry, least.usedTokens(), prompt)) {
            mRefused++;
            mMargin.recordRefusal();
            return;
        }
        ActiveRuns.Run progress =
                router.begin(least.mEntry.incarnation(), own, usual.residualMean(), prompt, 0);
        least.mRuns.add(new Run(progress, prompt, (long) output, hint, new long[1]));
    }

    private MemoryAdmission room(
            ActiveRuns router, OutputDistribution usual, OutputDistribution own) {
        if (mRule == Rule.MARGIN) {
            double mean = sample().meanTokens();
            return new MemoryAdmission.ForMargin(
                    mMargin.tokens(mean, mLoad.maxOutput(), mLoad.memory()), mLoad.memory());
        }
        GrowthForecast.PeerRuns peers = new OtherRouters(router);
        return new GrowthForecast(router, peers, usual, own, mLoad.memory(), mMargin.caution());
    }

    /** What the other routers report of their runs. */
    private final class OtherRouters implements GrowthForecast.PeerRuns {

        private final ActiveRuns mOwn;

        OtherRouters(ActiveRuns own) {
            mOwn = own;
        }

        @Override
        public int count(UpstreamEntry engine) {
            int count = -mOwn.at(engine.incarnation()).size();
            for (ActiveRuns router : mRouters) {
                count += router.at(engine.incarnation()).size();
            }
            return count;
        }

        @Override
        public long tokens(UpstreamEntry engine) {
            long sum = 0;
            for (ActiveRuns router : mRouters) {
                if (router != mOwn) {
                    for (ActiveRuns.Run run : router.at(engine.incarnation())) {
                        sum += run.tokens();
                    }
                }
            }
            return sum;
        }

        @Override
        public long restCorrection(UpstreamEntry engine) {
            long sum = -mOwn.restCorrection(engine.incarnation());
            for (ActiveRuns router : mRouters) {
                sum += router.restCorrection(engine.incarnation());
            }
            return sum;
        }
    }

    private double spread(double mean, double deviation) {
        return mean * Math.exp(deviation * mRandom.nextGaussian() - deviation * deviation / 2);
    }

    @Override
    public String toString() {
        return String.format(
                "completed %d, preempted %d, refused %d, margin %.1f",
                mCompleted, mPreempted, mRefused, mMargin.meanOutputs());
    }
}
