package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.daemon.node.ManualClock;

/** Which requests get a log line of their own. */
public final class DecisionLogTest {

    private ManualClock mTime;
    private MetricRegistry mMetrics;
    private EventRing mEvents;
    private DecisionLog mLog;

    @BeforeMethod
    void setUp() {
        mTime = new ManualClock();
        mMetrics = new MetricRegistry();
        mEvents = new EventRing("router", 16, new HybridClock());
        mLog = new DecisionLog(mMetrics, mEvents, mTime.loop());
    }

    private RequestTrace trace() {
        return new RequestTrace("id", "route", mTime.loop());
    }

    private long count(String counter) {
        return mMetrics.counter(counter).getCount();
    }

    @Test
    public void ordinarySuccessesAreFoldedIntoCounters() {
        for (int request = 0; request < 10; request++) {
            mLog.requestEnded(trace(), RequestTrace.ANSWERED);
        }
        assertEquals(count("log.folded"), 9);
        assertEquals(mEvents.eventsAbout("id").size(), 10);
        assertEquals(count("log.left-out"), 0);
    }

    @Test
    public void failureLinesAreRateLimited() {
        for (int request = 0; request < 250; request++) {
            mLog.requestEnded(trace(), "TP-128");
        }
        assertEquals(count("log.left-out"), 50);
        mTime.advance(1000);
        mLog.requestEnded(trace(), "TP-128");
        assertEquals(count("log.left-out"), 50);
    }

    @Test
    public void anAnswerThatIsLateOrAFailureIsNoOrdinarySuccess() {
        RequestTrace trace = trace();
        assertTrue(trace.isOrdinarySuccess(RequestTrace.ANSWERED));
        trace.markNotable();
        assertFalse(trace.isOrdinarySuccess(RequestTrace.ANSWERED));
    }
}
