package org.troutpier.daemon.growth;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.troutpier.common.id.UpstreamIncarnation;

/**
 * The runs of this router at each engine, and how far they are. Confined to the traffic loop.
 * Invariant: a run is listed from its start to its end, under the incarnation of its engine.
 */
public final class ActiveRuns {

    /** Unit to which reported corrections are rounded, so that a slight drift is no change. */
    private static final long REPORT_UNIT_TOKENS = 500;

    private final Map<UpstreamIncarnation, List<Run>> mRuns = new HashMap<>();

    /** One run. Confined to the traffic loop. */
    public final class Run {

        private final UpstreamIncarnation mEngine;

        private final OutputDistribution mOutput;

        /** The expected rest of any active run of the service, tokens. */
        private final double mUsualRest;

        private final long mPromptTokens;

        private long mMadeTokens;

        private Run(
                UpstreamIncarnation engine,
                OutputDistribution output,
                double usualRest,
                long promptTokens,
                long madeTokens) {
            mEngine = engine;
            mOutput = output;
            mUsualRest = usualRest;
            mPromptTokens = promptTokens;
            mMadeTokens = madeTokens;
        }

        /** Records output. */
        public void grow(long tokens) {
            mMadeTokens += tokens;
        }

        /** Removes the run. */
        public void end() {
            List<Run> runs = mRuns.get(mEngine);
            if (runs != null && runs.remove(this) && runs.isEmpty()) {
                mRuns.remove(mEngine);
            }
        }

        /** Returns the memory that the run takes, tokens. */
        long tokens() {
            return mPromptTokens + mMadeTokens;
        }

        /** Returns the chance that the run makes more tokens than given. */
        double survival(double moreTokens) {
            return mOutput.survival(mMadeTokens, moreTokens);
        }

        private double restCorrection() {
            return mOutput.rest(mMadeTokens) - mUsualRest;
        }
    }

    /**
     * Adds a run.
     *
     * @param output the distribution of its output
     * @param usualRest the expected rest of any active run of the service, tokens
     * @param promptTokens the length of its prompt
     * @param madeTokens the output of earlier runs of the same request
     */
    public Run begin(
            UpstreamIncarnation engine,
            OutputDistribution output,
            double usualRest,
            long promptTokens,
            long madeTokens) {
        Run run = new Run(engine, output, usualRest, promptTokens, madeTokens);
        mRuns.computeIfAbsent(engine, any -> new ArrayList<>()).add(run);
        return run;
    }

    /** Returns the runs at an engine; must not be changed. */
    List<Run> at(UpstreamIncarnation engine) {
        return mRuns.getOrDefault(engine, List.of());
    }

    /**
     * Returns by how much the expected rests of the runs at an engine exceed those of runs of which
     * only is known that they are active, tokens. Routers that do not report it count as 0.
     */
    public long restCorrection(UpstreamIncarnation engine) {
        double sum = 0;
        for (Run run : at(engine)) {
            sum += run.restCorrection();
        }
        return Math.round(sum / REPORT_UNIT_TOKENS) * REPORT_UNIT_TOKENS;
    }
}
