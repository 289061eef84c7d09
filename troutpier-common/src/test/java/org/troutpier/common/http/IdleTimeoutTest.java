package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the decision when a connection has been idle for too long, in virtual time. */
public final class IdleTimeoutTest {

    private static final long LIMIT = 1000;

    @Test
    public void silenceEndsAConnectionAtTheLimit() {
        IdleTimeout timeout = new IdleTimeout(LIMIT, 0);
        timeout.recordInput(400);
        assertFalse(timeout.isExpired(1399, false, 0));
        assertEquals(timeout.nextCheckMillis(1399), 1);
        assertTrue(timeout.isExpired(1400, false, 0));
    }

    @Test
    public void aRequestInServiceNeverExpires() {
        IdleTimeout timeout = new IdleTimeout(LIMIT, 0);
        assertFalse(timeout.isExpired(50_000, true, 0));
        assertFalse(timeout.isExpired(50_999, false, 0));
        assertTrue(timeout.isExpired(51_000, false, 0));
    }

    @Test
    public void outputThatShrinksKeepsAConnection() {
        IdleTimeout timeout = new IdleTimeout(LIMIT, 0);
        for (long now = 900, left = 100; left > 0; now += 900, left--) {
            assertFalse(timeout.isExpired(now, false, left), "at " + now);
            assertEquals(timeout.nextCheckMillis(now), LIMIT / 4);
        }
    }

    @Test
    public void inputDoesNotKeepAConnectionWhoseOutputStands() {
        IdleTimeout timeout = new IdleTimeout(LIMIT, 0);
        assertFalse(timeout.isExpired(100, false, 70));
        for (long now = 200; now < 1100; now += 100) {
            timeout.recordInput(now);
            assertFalse(timeout.isExpired(now, false, 70), "at " + now);
        }
        assertTrue(timeout.isExpired(1100, false, 70));
    }
}
