package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.node.ManualClock;

/** How often a router tells its load. */
public final class ReportPaceTest {

    private ManualClock mTime;
    private int mReports;
    private ReportPace mPace;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mReports = 0;
        mPace = new ReportPace(mTime.loop(), this::report);
        mPace.reported();
    }

    private void report() {
        mReports++;
        mPace.reported();
    }

    /** 20 reports a second before, which told of each token: 5 now. */
    @Test
    public void aStreamOfTokensIsToldFiveTimesASecond() {
        for (int token = 0; token < 200; token++) {
            mPace.grown();
            mTime.advance(5);
        }
        assertEquals(mReports, 5, 1);
    }

    @Test
    public void aCallThatBeginsIsToldAtOnceWhereTheLastReportIsOld() {
        mTime.advance(ReportPace.CHANGED_MILLIS);
        mPace.changed();
        mTime.advance(1);
        assertEquals(mReports, 1);
    }

    @Test
    public void aCallThatEndsDoesNotWaitForAReportOfGrowth() {
        mPace.grown();
        mTime.advance(10);
        mPace.changed();
        mTime.advance(ReportPace.CHANGED_MILLIS - 10);
        assertEquals(mReports, 1);
        mTime.advance(ReportPace.GROWN_MILLIS);
        assertEquals(mReports, 1);
    }

    @Test
    public void growthDoesNotDelayAReportOfACall() {
        mPace.changed();
        mPace.grown();
        mTime.advance(ReportPace.CHANGED_MILLIS);
        assertEquals(mReports, 1);
    }

    @Test
    public void callsThatBeginAllTheTimeAreToldTwentyTimesASecond() {
        for (int call = 0; call < 1000; call++) {
            mPace.changed();
            mTime.advance(1);
        }
        assertEquals(mReports, 20, 1);
    }
}
