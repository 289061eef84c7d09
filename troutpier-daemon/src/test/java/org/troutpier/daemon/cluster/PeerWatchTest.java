package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;

/** Which routers have fallen silent. */
public final class PeerWatchTest {

    private final Incarnation mRouter = new Incarnation("router~1");
    private PeerWatch mWatch;

    @BeforeMethod
    void start() {
        mWatch = new PeerWatch();
    }

    @Test
    public void aRouterThatIsHeardIsNotSuspected() {
        for (long now = 0; now < 5000; now += 250) {
            mWatch.heard(mRouter, now);
            mWatch.expect(Set.of(mRouter), now);
        }
        assertFalse(mWatch.suspected(mRouter));
    }

    @Test
    public void anExpectedRouterThatIsSilentIsSuspectedForAWhile() {
        mWatch.expect(Set.of(mRouter), 0);
        mWatch.expect(Set.of(mRouter), PeerWatch.SILENT_MILLIS);
        assertFalse(mWatch.suspected(mRouter));
        mWatch.expect(Set.of(mRouter), PeerWatch.SILENT_MILLIS + 1);
        assertTrue(mWatch.suspected(mRouter));
        mWatch.expect(Set.of(), PeerWatch.SILENT_MILLIS + PeerWatch.SUSPECTED_MILLIS);
        assertTrue(mWatch.suspected(mRouter));
        mWatch.expect(Set.of(), PeerWatch.SILENT_MILLIS + PeerWatch.SUSPECTED_MILLIS + 2);
        assertFalse(mWatch.suspected(mRouter));
    }

    @Test
    public void aSuspectedRouterThatIsHeardIsUsedAgain() {
        mWatch.expect(Set.of(mRouter), 0);
        mWatch.expect(Set.of(mRouter), 2000);
        assertTrue(mWatch.suspected(mRouter));
        mWatch.heard(mRouter, 2100);
        assertFalse(mWatch.suspected(mRouter));
    }
}
