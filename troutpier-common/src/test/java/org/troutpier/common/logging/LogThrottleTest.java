package org.troutpier.common.logging;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the interval between lines. */
public final class LogThrottleTest {

    @Test
    public void theFirstLineIsWrittenAndTheNextAfterThePause() {
        LogThrottle pause = new LogThrottle(1000);
        assertTrue(pause.tryAcquire(0));
        assertFalse(pause.tryAcquire(999));
        assertTrue(pause.tryAcquire(1000));
        assertFalse(pause.tryAcquire(1999));
    }
}
