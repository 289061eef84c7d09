package org.troutpier.daemon.extracall;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the permits of one request's calls. */
public final class RequestArrivalsTest {

    private static final int WINDOW = 10_000;

    private ExtraCallBudget mBudget;
    private long mNow;

    @BeforeMethod
    void setUp() {
        mBudget = new ExtraCallBudget(0, 1, WINDOW);
    }

    private RequestArrivals request() {
        return new RequestArrivals(mBudget, "s", () -> mNow, granted -> {});
    }

    private int used() {
        return mBudget.usage("s", mNow).extraCalls();
    }

    @Test
    public void anUnusedPermitGoesBackWhenTheRequestEnds() {
        RequestArrivals request = request();
        request.begin().orElseThrow().recordArrived();
        assertTrue(request.reserve());
        assertEquals(used(), 1);
        assertFalse(lost().reserve(), "the only permit is reserved");
        request.close();
        assertEquals(used(), 0);
    }

    private RequestArrivals lost() {
        RequestArrivals request = request();
        request.begin().orElseThrow().recordArrived();
        return request;
    }

    @Test
    public void aCallInFlightWhenTheRequestEndsLeavesTheBudgetAfterOneWindow() {
        RequestArrivals request = lost();
        request.begin().orElseThrow();
        request.close();
        assertEquals(used(), 1);
        mNow += WINDOW + WINDOW / 10;
        assertEquals(used(), 0);
    }

    @Test
    public void thePermitOfACallThatNeverArrivedServesTheNextOne() {
        RequestArrivals request = lost();
        request.begin().orElseThrow().recordUnreached();
        assertFalse(lost().reserve(), "kept for the next call");
        request.begin().orElseThrow().recordArrived();
        assertEquals(request.extraCalls(), 1);
    }

    @Test
    public void aCompletedPrefillAfterALostOneTakesNoPermit() {
        RequestArrivals request = request();
        request.beginPrefill().orElseThrow().recordArrived();
        request.beginPrefill().orElseThrow().recordPrefilled();
        request.begin().orElseThrow().recordArrived();
        assertEquals(request.extraCalls(), 1);
        assertFalse(request.reserve());
    }
}
