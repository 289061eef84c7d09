package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What is measured of callers' demand. */
public final class DemandMeterTest {

    private static final String SERVICE = "notes";
    private static final long PROMPT = 5000;

    private DemandMeter mMeter;
    private long mNow;

    @BeforeMethod
    void start() {
        mMeter = new DemandMeter();
        mNow = 0;
    }

    private void read(int times, long millis) {
        for (int time = 0; time < times; time++) {
            mNow += 100;
            mMeter.read(SERVICE, PROMPT, millis, mNow);
        }
    }

    private double pace() {
        return mMeter.publish(mNow).get(SERVICE).prefillTokensPerMilli();
    }

    @Test
    public void slowReadingsOfARouterThatJustStartedDoNotSetThePace() {
        read(10, 600);
        read(10, 100);
        assertEquals(pace(), 50, 0.001);
    }

    @Test
    public void aFewPromptsThatWereKeptDoNotSetThePace() {
        read(20, 100);
        read(4, 10);
        assertEquals(pace(), 50, 0.001);
    }

    @Test
    public void thePaceOfSeveralRoutersIsWeighedByTheirReadings() {
        read(3, 100);
        Demand one = mMeter.publish(mNow).get(SERVICE);
        Demand other = new Demand(0, 0, 0, 0, 40 * one.paceWeight(), one.paceWeight());
        assertEquals(one.plus(other).prefillTokensPerMilli(), 45, 0.001);
    }

    @Test
    public void demandFadesAndThePaceStays() {
        mMeter.came(SERVICE, PROMPT, mNow);
        read(1, 100);
        double before = mMeter.publish(mNow).get(SERVICE).promptTokens();
        mNow += (long) Demand.DECAY_MILLIS;
        double after = mMeter.publish(mNow).get(SERVICE).promptTokens();
        assertEquals(after, before / Math.E, 0.01 * before);
        assertEquals(pace(), 50, 0.001);
    }
}
