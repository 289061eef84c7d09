package org.troutpier.daemon.growth;

/**
 * The distribution of the output of a run: log-normal with the measured mean and spread, cut off at
 * the maximum output. A caller's guess moves it as far as earlier guesses were right. Immutable and
 * thread safe; evaluated from tables.
 */
public final class OutputDistribution {

    /** Number of runs from which measured values are used. */
    private static final double MIN_RUNS = 5;

    /**
     * Lower bound of the mean output as a fraction of the maximum output. Short runs complete
     * first, so the measured mean is too low during a burst, which is when it matters.
     */
    private static final double MIN_MEAN_FRACTION = 0.42;

    /** Variance of the logarithm that is assumed before enough runs are measured. */
    private static final double INITIAL_VARIANCE = 0.25;

    /**
     * Minimum variance of the logarithm: a few equal outputs do not prove that the next is equal.
     */
    private static final double MIN_VARIANCE = 0.01;

    private static final int STEPS = 32;

    /** Abramowitz and Stegun, formula 26.2.17, highest power first. */
    private static final double[] NORMAL_COEFFICIENTS = {
        1.330274429, -1.821255978, 1.781477937, -0.356563782, 0.319381530
    };

    private final double mStepTokens;

    /** The chance that an output exceeds a number of steps. */
    private final double[] mSurvival = new double[STEPS + 1];

    /** The integral of the survival from a number of steps on, tokens. */
    private final double[] mTail = new double[STEPS + 1];

    /** The expected rest of a run of which only is known that it is active, tokens. */
    private final double mResidualMean;

    /**
     * Creates a distribution.
     *
     * @param maxTokens the maximum output, tokens
     * @param hintTokens the caller's guess of the output, tokens; 0 if there is none
     */
    public OutputDistribution(OutputSample sample, long maxTokens, long hintTokens) {
        double max = Math.max(1, maxTokens);
        mStepTokens = max / STEPS;
        boolean measured = sample.runs() >= MIN_RUNS;
        double measuredMean = measured ? Math.min(max, sample.meanTokens()) : 0;
        double mean = Math.max(measuredMean, max * MIN_MEAN_FRACTION);
        double variance = INITIAL_VARIANCE;
        if (measured && sample.meanSquare() > 0) {
            double square = sample.meanTokens() * sample.meanTokens();
            variance = Math.log(Math.max(1, sample.meanSquare() / square));
        }
        variance = Math.max(MIN_VARIANCE, variance);
        double logarithm = Math.log(mean) - variance / 2;
        if (hintTokens > 0 && sample.hintedRuns() >= MIN_RUNS) {
            double hintVariance = Math.max(MIN_VARIANCE, sample.hintError());
            double weight = variance / (variance + hintVariance);
            logarithm += weight * (Math.log(Math.min(max, hintTokens)) - logarithm);
            variance *= 1 - weight;
        }
        double deviation = Math.sqrt(variance);
        mSurvival[0] = 1;
        for (int step = 1; step < STEPS; step++) {
            mSurvival[step] = upperNormal((Math.log(step * mStepTokens) - logarithm) / deviation);
        }
        for (int step = STEPS - 1; step >= 0; step--) {
            mTail[step] =
                    mTail[step + 1] + (mSurvival[step] + mSurvival[step + 1]) / 2 * mStepTokens;
        }
        double residual = 0;
        for (int step = 0; step < STEPS; step++) {
            residual += (mTail[step] + mTail[step + 1]) / 2 * mStepTokens;
        }
        mResidualMean = residual / mTail[0];
    }

    /**
     * Returns the distribution of the output of runs of a service whose maximum is not known.
     *
     * @param maxTokens the smallest maximum to assume, tokens
     */
    public static OutputDistribution ofUsual(OutputSample sample, long maxTokens) {
        double implied = sample.runs() >= MIN_RUNS ? sample.meanTokens() / MIN_MEAN_FRACTION : 0;
        return new OutputDistribution(sample, Math.max(maxTokens, Math.round(implied)), 0);
    }

    /** Returns the maximum output, tokens. */
    public double maxTokens() {
        return mStepTokens * STEPS;
    }

    /** Returns the mean, tokens. */
    public double mean() {
        return mTail[0];
    }

    /**
     * Returns the chance that a run makes more tokens than given.
     *
     * @param madeTokens what it has made so far
     * @param moreTokens how many more
     */
    public double survival(double madeTokens, double moreTokens) {
        double made = interpolate(mSurvival, madeTokens);
        return made > 0 ? interpolate(mSurvival, madeTokens + moreTokens) / made : 0;
    }

    /**
     * Returns the expected number of tokens that a run still makes.
     *
     * @param madeTokens what it has made so far
     */
    public double rest(double madeTokens) {
        double made = interpolate(mSurvival, madeTokens);
        double left = Math.max(0, maxTokens() - madeTokens);
        return made > 0 ? Math.min(left, interpolate(mTail, madeTokens) / made) : 0;
    }

    /**
     * Returns the expected number of tokens that a run still makes of which only is known that it
     * is active.
     */
    public double residualMean() {
        return mResidualMean;
    }

    /**
     * Returns the chance that a run of which only is known that it is active makes more tokens than
     * given.
     */
    public double residualSurvival(double moreTokens) {
        return interpolate(mTail, moreTokens) / mTail[0];
    }

    private double interpolate(double[] table, double tokens) {
        double position = tokens / mStepTokens;
        int step = (int) position;
        return step >= STEPS
                ? table[STEPS]
                : table[step] + (position - step) * (table[step + 1] - table[step]);
    }

    /** Returns the chance that a standard normal variable exceeds a value, within 1e-7. */
    private static double upperNormal(double value) {
        double term = 1 / (1 + 0.2316419 * Math.abs(value));
        double polynomial = 0;
        for (double coefficient : NORMAL_COEFFICIENTS) {
            polynomial = (polynomial + coefficient) * term;
        }
        double tail = polynomial * Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI);
        return value >= 0 ? tail : 1 - tail;
    }
}
