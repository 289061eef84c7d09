package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.Incarnation;

/** Tests which routers are suspected. */
public final class PeerFailureDetectorTest {

    private final Incarnation mRouter = new Incarnation("router~1");
    private PeerFailureDetector mDetector;

    @BeforeMethod
    void start() {
        mDetector = new PeerFailureDetector();
    }

    @Test
    public void aRouterThatSendsMessagesIsNotSuspected() {
        for (long now = 0; now < 5000; now += 250) {
            mDetector.recordContact(mRouter, now);
            mDetector.update(Set.of(mRouter), now);
        }
        assertFalse(mDetector.isSuspected(mRouter));
    }

    @Test
    public void aSilentRouterIsSuspectedForALimitedTime() {
        mDetector.update(Set.of(mRouter), 0);
        mDetector.update(Set.of(mRouter), PeerFailureDetector.TIMEOUT_MILLIS);
        assertFalse(mDetector.isSuspected(mRouter));
        mDetector.update(Set.of(mRouter), PeerFailureDetector.TIMEOUT_MILLIS + 1);
        assertTrue(mDetector.isSuspected(mRouter));
        mDetector.update(
                Set.of(),
                PeerFailureDetector.TIMEOUT_MILLIS + PeerFailureDetector.SUSPICION_MILLIS);
        assertTrue(mDetector.isSuspected(mRouter));
        mDetector.update(
                Set.of(),
                PeerFailureDetector.TIMEOUT_MILLIS + PeerFailureDetector.SUSPICION_MILLIS + 2);
        assertFalse(mDetector.isSuspected(mRouter));
    }

    @Test
    public void aMessageEndsASuspicion() {
        mDetector.update(Set.of(mRouter), 0);
        mDetector.update(Set.of(mRouter), 2000);
        assertTrue(mDetector.isSuspected(mRouter));
        mDetector.recordContact(mRouter, 2100);
        assertFalse(mDetector.isSuspected(mRouter));
    }
}
