package org.troutpier.daemon.growth;

import java.util.List;
import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Admits a run at an engine if the memory there is unlikely to run out before enough of the runs
 * have ended. All runs of an engine make tokens at about the same pace, so after a number of tokens
 * each the memory has grown by that of the active runs, less what the ended ones had taken; memory
 * runs out if too few have ended by then. The chance follows from the progress of each run and the
 * distribution of outputs. Runs of other routers count with their number and their expected rest.
 * Confined to the traffic loop.
 *
 * <p>Intended for engines that hold few large runs, where a fixed margin is too small if all runs
 * have just begun and too large if some are about to end.
 */
public final class GrowthForecast implements MemoryAdmission {

    /**
     * Chance of preemption that is accepted, divided by the number of runs. Preemption can make all
     * runs of an engine pause beyond what their callers accept, a refusal fails one caller.
     */
    private static final double CHANCE = 0.1;

    /** Points up to which the memory is forecast, as fractions of the maximum output. */
    private static final double[] POINTS = {
        1.0 / 128, 1.0 / 64, 1.0 / 32, 1.0 / 16, 3.0 / 32, 1.0 / 8, 3.0 / 16, 1.0 / 4, 3.0 / 8,
        1.0 / 2, 3.0 / 4, 1
    };

    private final ActiveRuns mOwnRuns;

    private final PeerRuns mPeerRuns;

    /** The distribution of any run's output. */
    private final OutputDistribution mUsualOutput;

    /** The distribution of the request's output. */
    private final OutputDistribution mOutput;

    private final long mMemoryTokens;

    private final double mCaution;

    /** The runs of other routers at engines. */
    public interface PeerRuns {

        /** Returns their number. */
        int count(UpstreamEntry engine);

        /** Returns the memory that they take, tokens. */
        long tokens(UpstreamEntry engine);

        /** Returns the sum of their {@link ActiveRuns#restCorrection}. */
        long restCorrection(UpstreamEntry engine);
    }

    /**
     * Creates a forecast for one request.
     *
     * @param usualOutput the distribution of the output of any run
     * @param output the distribution of the request's output
     * @param memoryTokens the memory of an engine, tokens
     * @param caution by which factor the accepted chance is reduced, at least 1
     */
    public GrowthForecast(
            ActiveRuns ownRuns,
            PeerRuns peerRuns,
            OutputDistribution usualOutput,
            OutputDistribution output,
            long memoryTokens,
            double caution) {
        mOwnRuns = ownRuns;
        mPeerRuns = peerRuns;
        mUsualOutput = usualOutput;
        mOutput = output;
        mMemoryTokens = memoryTokens;
        mCaution = Math.max(1, caution);
    }

    /** {@inheritDoc} */
    @Override
    public boolean admits(UpstreamEntry engine, long usedTokens, long tokens) {
        if (usedTokens + tokens > mMemoryTokens) {
            return false;
        }
        List<ActiveRuns.Run> ownRuns = mOwnRuns.at(engine.incarnation());
        int peerCount = mPeerRuns.count(engine);
        int count = 1 + peerCount + ownRuns.size();
        double accepted = CHANCE / count / mCaution;
        for (double point : POINTS) {
            double moreTokens = point * mOutput.maxTokens();
            double excess = usedTokens + tokens + count * moreTokens - mMemoryTokens;
            if (excess > 0) {
                Ends ends = new Ends(count);
                ends.add(mOutput.survival(0, moreTokens), tokens + moreTokens);
                for (ActiveRuns.Run run : ownRuns) {
                    ends.add(run.survival(moreTokens), run.tokens() + moreTokens);
                }
                if (peerCount > 0) {
                    addPeers(ends, engine, peerCount, moreTokens);
                }
                if (ends.chanceOfFreeingLessThan(excess) > accepted) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Adds the runs of other routers. Those that end soon have made more than the others, so they
     * free more than the mean.
     */
    private void addPeers(Ends ends, UpstreamEntry engine, int count, double moreTokens) {
        double usualRest = mUsualOutput.residualMean();
        double rest = Math.max(1, usualRest + mPeerRuns.restCorrection(engine) / (double) count);
        double survival = mUsualOutput.residualSurvival(moreTokens * usualRest / rest);
        double meanTokens = mPeerRuns.tokens(engine) / (double) count;
        double atEnd = meanTokens + Math.max(0, mUsualOutput.mean() - usualRest);
        for (int run = 0; run < count; run++) {
            ends.add(survival, atEnd + moreTokens / 2);
        }
    }

    /** The ends of runs until a time. Not thread safe; used for one time and discarded. */
    private static final class Ends {

        private final double[] mSurvivals;

        private int mCount;

        /** The expected number of ends. */
        private double mExpected;

        /** The expected memory that they free, tokens. */
        private double mExpectedTokens;

        Ends(int count) {
            mSurvivals = new double[count];
        }

        /**
         * Adds a run.
         *
         * @param survival the chance that it is still active
         * @param tokens what its end frees, tokens
         */
        void add(double survival, double tokens) {
            mSurvivals[mCount++] = survival;
            mExpected += 1 - survival;
            mExpectedTokens += (1 - survival) * tokens;
        }

        /**
         * Returns the chance that too few runs have ended to free an amount, where each end frees
         * the mean.
         */
        double chanceOfFreeingLessThan(double tokens) {
            if (mExpectedTokens <= 0) {
                return 1;
            }
            double required = Math.ceil(tokens * mExpected / mExpectedTokens);
            if (required > mCount) {
                return 1;
            }
            double[] chances = new double[(int) required];
            chances[0] = 1;
            for (double survival : mSurvivals) {
                for (int ended = chances.length - 1; ended > 0; ended--) {
                    chances[ended] =
                            chances[ended] * survival + chances[ended - 1] * (1 - survival);
                }
                chances[0] *= survival;
            }
            double sum = 0;
            for (double chance : chances) {
                sum += chance;
            }
            return sum;
        }
    }

    /** {@inheritDoc} */
    @Override
    public String requirement(long tokens) {
        return tokens + " tokens and growth of " + mMemoryTokens;
    }
}
