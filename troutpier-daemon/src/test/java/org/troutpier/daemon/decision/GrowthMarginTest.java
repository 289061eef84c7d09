package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the memory margin for growing runs. */
public final class GrowthMarginTest {

    private static final long MEMORY = 41_000;

    @Test
    public void theMarginIsCountedInMeanOutputs() {
        GrowthMargin margin = new GrowthMargin();
        assertEquals(margin.tokens(700, 1530, MEMORY), 3.8 * 700, 1e-6);
        assertEquals(margin.tokens(0, 1000, MEMORY), 3.8 * 420, 1e-6);
        assertEquals(margin.tokens(20_000, 40_000, MEMORY), MEMORY / 2.0);
    }

    @Test
    public void shortRunsThatEndFirstDoNotReduceIt() {
        GrowthMargin margin = new GrowthMargin();
        assertEquals(margin.tokens(100, 1000, MEMORY), margin.tokens(0, 1000, MEMORY));
    }

    @Test
    public void refusalsWithoutPausesReduceIt() {
        GrowthMargin margin = new GrowthMargin();
        for (int refusal = 0; refusal < 1000; refusal++) {
            margin.recordRefusal();
        }
        assertEquals(margin.meanOutputs(), 1.9);
    }

    @Test
    public void pausesRaiseItAndOnePreemptionCountsOnce() {
        GrowthMargin margin = new GrowthMargin();
        for (int stream = 0; stream < 12; stream++) {
            margin.recordPause(1000 + stream);
        }
        assertEquals(margin.meanOutputs(), 4.5, 1e-9);
        margin.recordPause(2000);
        margin.recordPause(3000);
        margin.recordPause(4000);
        margin.recordPause(5000);
        assertEquals(margin.meanOutputs(), 6, 1e-9);
    }

    @Test
    public void pausingEnginesKeepMoreMemoryFree() {
        GrowthMargin steady = new GrowthMargin();
        GrowthMargin pausing = new GrowthMargin();
        for (int second = 0; second < 30; second++) {
            steady.recordRefusal();
            pausing.recordRefusal();
            if (second % 5 == 0) {
                pausing.recordPause(second * 1000L);
            }
        }
        assertTrue(steady.meanOutputs() < pausing.meanOutputs());
    }

    @Test
    public void pausesDemandCautionWithinBounds() {
        GrowthMargin margin = new GrowthMargin();
        assertEquals(margin.caution(), 1.0);
        margin.recordRefusal();
        assertEquals(margin.caution(), 1.0);
        for (int pause = 0; pause < 20; pause++) {
            margin.recordPause(pause * 1000L);
        }
        assertEquals(margin.caution(), Math.exp(6 - 3.8), 1e-9);
    }
}
