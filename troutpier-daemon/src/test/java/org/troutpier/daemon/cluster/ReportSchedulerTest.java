package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.node.ManualClock;

/** Tests how often a router reports its load. */
public final class ReportSchedulerTest {

    private ManualClock mTime;
    private int mReports;
    private ReportScheduler mScheduler;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mReports = 0;
        mScheduler = new ReportScheduler(mTime.loop(), this::report);
        mScheduler.recordReport();
    }

    private void report() {
        mReports++;
        mScheduler.recordReport();
    }

    /** Guards against a report for each token, 20 a second; five are sent. */
    @Test
    public void addedTokensAreReportedFiveTimesASecond() {
        for (int token = 0; token < 200; token++) {
            mScheduler.onTokensAdded();
            mTime.advance(5);
        }
        assertEquals(mReports, 5, 1);
    }

    @Test
    public void aCallIsReportedImmediatelyIfTheLastReportIsOld() {
        mTime.advance(ReportScheduler.CALL_INTERVAL_MILLIS);
        mScheduler.onCallChange();
        mTime.advance(1);
        assertEquals(mReports, 1);
    }

    @Test
    public void aCallDoesNotWaitForAReportOfTokens() {
        mScheduler.onTokensAdded();
        mTime.advance(10);
        mScheduler.onCallChange();
        mTime.advance(ReportScheduler.CALL_INTERVAL_MILLIS - 10);
        assertEquals(mReports, 1);
        mTime.advance(ReportScheduler.TOKEN_INTERVAL_MILLIS);
        assertEquals(mReports, 1);
    }

    @Test
    public void addedTokensDoNotDelayAReportOfACall() {
        mScheduler.onCallChange();
        mScheduler.onTokensAdded();
        mTime.advance(ReportScheduler.CALL_INTERVAL_MILLIS);
        assertEquals(mReports, 1);
    }

    @Test
    public void frequentCallsAreReportedTwentyTimesASecond() {
        for (int call = 0; call < 1000; call++) {
            mScheduler.onCallChange();
            mTime.advance(1);
        }
        assertEquals(mReports, 20, 1);
    }
}
