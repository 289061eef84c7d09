package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.daemon.node.ManualClock;

/** When a decision is made by what the others have under way now. */
public final class LoadViewTest {

    private ManualClock mTime;
    private List<Runnable> mQuestions;
    private int mDecisions;
    private LoadView mView;
    private MetricRegistry mMetrics;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mQuestions = new ArrayList<>();
        mDecisions = 0;
        mMetrics = new MetricRegistry();
        mView = new LoadView.Refreshing(mTime.loop(), mQuestions::add, mMetrics);
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
        assertEquals(mQuestions.size(), 1);
        mQuestions.get(0).run();
        mTime.advance(1);
        assertEquals(mDecisions, 3);
    }

    @Test
    public void aDecisionThatThrowsKeepsNoOtherFromBeingMade() {
        mView.whenFresh(
                () -> {
                    throw new IllegalStateException("thrown by the test");
                });
        decide(1);
        mQuestions.get(0).run();
        mTime.advance(1);
        assertEquals(mDecisions, 1);
    }

    @Test
    public void aFreshViewIsNotAskedForAgain() {
        decide(1);
        mQuestions.get(0).run();
        mTime.advance(LoadView.Refreshing.FRESH_MILLIS);
        decide(1);
        assertEquals(mDecisions, 2);
        mTime.advance(1);
        decide(1);
        assertEquals(mQuestions.size(), 2);
    }

    @Test
    public void withoutAnAnswerADecisionIsMadeInTime() {
        decide(1);
        mTime.advance(LoadView.Refreshing.MOST_MILLIS);
        assertEquals(mDecisions, 1);
        assertEquals(mMetrics.counter("view.unanswered").getCount(), 1);
    }

    @Test
    public void anAnswerThatComesTooLateEndsNoLaterQuestion() {
        decide(1);
        mTime.advance(LoadView.Refreshing.MOST_MILLIS + LoadView.Refreshing.FRESH_MILLIS + 1);
        decide(1);
        mQuestions.get(0).run();
        mTime.advance(1);
        assertEquals(mDecisions, 1);
        mQuestions.get(1).run();
        mTime.advance(1);
        assertEquals(mDecisions, 2);
    }
}
