package org.troutpier.daemon.growth;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the distribution of outputs. */
public final class OutputDistributionTest {

    private static final long MAX = 7800;
    private static final double MEAN = 4200;
    private static final double SPREAD = 0.25;

    private static OutputSample sample(double hintError) {
        return new OutputSample(100, MEAN, MEAN * MEAN * Math.exp(SPREAD), 100, hintError);
    }

    @Test
    public void measuredOutputsDetermineTheChances() {
        OutputDistribution output = new OutputDistribution(sample(0), MAX, 0);
        double median = MEAN * Math.exp(-SPREAD / 2);
        assertEquals(output.survival(0, median), 0.5, 0.01);
        assertEquals(output.survival(0, MAX), 0.0);
        assertTrue(output.survival(3000, 1000) < output.survival(0, 1000));
        assertEquals(output.residualSurvival(0), 1.0);
    }

    /** Runs of others are not expected to end within the maximum of one short request. */
    @Test
    public void usualOutputsDoNotDependOnOneRequest() {
        double usual = new OutputDistribution(sample(0), MAX, 0).mean();
        assertEquals(OutputDistribution.ofUsual(sample(0), 16).mean(), usual, usual / 10);
    }

    @Test
    public void restOfARunDependsOnItsProgress() {
        OutputDistribution output = new OutputDistribution(sample(0), MAX, 0);
        assertEquals(output.rest(0), output.mean(), 1);
        assertTrue(output.rest(3000) < output.rest(0));
        assertTrue(output.rest(MAX - 100) <= 100);
        assertEquals(output.rest(MAX + 100), 0.0);
    }

    @Test
    public void hintCountsAsFarAsEarlierOnesWereRight() {
        double usual = new OutputDistribution(sample(0.04), MAX, 0).mean();
        double right = new OutputDistribution(sample(0.04), MAX, 2000).mean();
        double wrong = new OutputDistribution(sample(9), MAX, 2000).mean();
        assertEquals(right, 2000, 500);
        assertEquals(wrong, usual, 200);
        OutputSample unknown = new OutputSample(100, MEAN, MEAN * MEAN * 1.2, 2, 0);
        assertEquals(
                new OutputDistribution(unknown, MAX, 2000).mean(),
                new OutputDistribution(unknown, MAX, 0).mean());
    }

    @Test
    public void nothingMeasuredAssumesAWideSpread() {
        OutputDistribution output = new OutputDistribution(OutputSample.NONE, MAX, 2000);
        assertEquals(output.mean(), 0.42 * MAX, 200);
        OutputDistribution single = new OutputDistribution(OutputSample.NONE, 0, 0);
        assertEquals(single.survival(0, 1), 0.0);
    }
}
