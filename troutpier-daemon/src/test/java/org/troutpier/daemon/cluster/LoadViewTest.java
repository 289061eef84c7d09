package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.node.ManualClock;

/** Tests when decisions are run by {@link LoadView.ForDecisions}. */
public final class LoadViewTest {

    private ManualClock mTime;
    private List<Runnable> mQueries;
    private int mDecisions;
    private LoadView mView;
    private MetricRegistry mMetrics;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mQueries = new ArrayList<>();
        mDecisions = 0;
        mMetrics = new MetricRegistry();
        mView = new LoadView.ForDecisions(mTime.loop(), mQueries::add, mMetrics);
    }

    private void decide(int count) {
        for (int decision = 0; decision < count; decision++) {
            mView.whenFresh(() -> mDecisions++);
        }
    }

    @Test
    public void decisionsWaitForOneAnswer() {
        decide(3);
        mTime.advance(1);
        assertEquals(mDecisions, 0);
        assertEquals(mQueries.size(), 1);
        mQueries.get(0).run();
        mTime.advance(1);
        assertEquals(mDecisions, 3);
    }

    @Test
    public void aDecisionThatThrowsDoesNotPreventOthers() {
        mView.whenFresh(
                () -> {
                    throw new IllegalStateException("thrown by the test");
                });
        decide(1);
        mQueries.get(0).run();
        mTime.advance(1);
        assertEquals(mDecisions, 1);
    }

    @Test
    public void aFreshViewIsNotQueriedAgain() {
        decide(1);
        mQueries.get(0).run();
        mTime.advance(LoadView.ForDecisions.MAX_AGE_MILLIS);
        decide(1);
        assertEquals(mDecisions, 2);
        mTime.advance(1);
        decide(1);
        assertEquals(mQueries.size(), 2);
    }

    @Test
    public void aDecisionIsMadeInTimeWithoutAnAnswer() {
        decide(1);
        mTime.advance(LoadView.ForDecisions.MAX_WAIT_MILLIS);
        assertEquals(mDecisions, 1);
        assertEquals(mMetrics.counter("view.unanswered").getCount(), 1);
    }

    @Test
    public void aLateAnswerDoesNotEndALaterQuery() {
        decide(1);
        mTime.advance(
                LoadView.ForDecisions.MAX_WAIT_MILLIS + LoadView.ForDecisions.MAX_AGE_MILLIS + 1);
        decide(1);
        mQueries.get(0).run();
        mTime.advance(1);
        assertEquals(mDecisions, 1);
        mQueries.get(1).run();
        mTime.advance(1);
        assertEquals(mDecisions, 2);
    }
}
