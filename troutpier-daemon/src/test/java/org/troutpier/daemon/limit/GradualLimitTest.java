package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the gradual reduction of a limit. */
public final class GradualLimitTest {

    private static final double EXACT = 1e-9;

    private GradualLimit mLimit;

    @BeforeMethod
    void start() {
        mLimit = new GradualLimit(100, 4000);
    }

    @Test
    public void aReductionTakesOneWindow() {
        mLimit.set(20, 10_000);
        assertEquals(mLimit.target(), 20, EXACT);
        assertEquals(mLimit.current(10_000), 100, EXACT);
        assertEquals(mLimit.current(11_000), 80, EXACT);
        assertEquals(mLimit.current(14_000), 20, EXACT);
        assertEquals(mLimit.current(99_000), 20, EXACT);
    }

    @Test
    public void aSecondReductionStartsFromTheCurrentLimit() {
        mLimit.set(20, 10_000);
        mLimit.set(0, 12_000);
        assertEquals(mLimit.current(12_000), 60, EXACT);
        assertEquals(mLimit.current(14_000), 30, EXACT);
    }

    @Test
    public void anIncreaseTakesEffectAtOnce() {
        mLimit.set(300, 10_000);
        assertEquals(mLimit.current(10_000), 300, EXACT);
    }

    @Test
    public void theInitialLimitIsAtLeastTheTarget() {
        mLimit.set(50, 10, 10_000);
        assertEquals(mLimit.current(10_000), 50, EXACT);
    }
}
