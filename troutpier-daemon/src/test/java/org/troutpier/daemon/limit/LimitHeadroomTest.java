package org.troutpier.daemon.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the admission probability under a limit that routers share. */
public final class LimitHeadroomTest {

    private static final double EXACT = 1e-9;

    private static LimitHeadroom headroom(long used, long requested) {
        return new LimitHeadroom(
                new RecentUsage(used, used, requested), RecentUsage.NONE, 20, 10, 1000);
    }

    @Test
    public void aRequestThatFitsTogetherWithUnreportedDemandIsAdmitted() {
        assertTrue(headroom(4, 20).admissionProbability(1, 0, 20) >= 1);
        assertTrue(headroom(4, 20).admits(1, new Random(1)));
    }

    @Test
    public void unreportedDemandBeyondTheHeadroomIsAdmittedInProportion() {
        assertEquals(headroom(6, 100).admissionProbability(1, 0, 100), 4 / 20.0, EXACT);
    }

    @Test
    public void oneOfAllRequestsThatFitPartlyIsAdmitted() {
        assertEquals(headroom(8, 40).admissionProbability(4, 0, 40), 2 / 40.0, EXACT);
    }

    @Test
    public void headroomIsReservedForMoreUrgentDemand() {
        assertEquals(headroom(6, 100).admissionProbability(1, 5, 90), (4 - 2) / 18.0, EXACT);
        assertEquals(
                headroom(6, 100).admissionProbability(1, 8, 90),
                (4 - 3.2) / 90,
                EXACT,
                "less than a request");
        assertTrue(headroom(6, 100).admissionProbability(1, 50, 50) <= 0);
    }

    @Test
    public void aRequestWithoutCostIsAdmittedUpToTheLimit() {
        assertTrue(headroom(10, 0).admits(0, new Random(1)));
        assertFalse(headroom(11, 0).admits(0, new Random(1)));
    }
}
