package org.troutpier.daemon.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;

/** Measures of a router's own load, and the share of new connections that it admits. */
public final class OverloadTest {

    private static final long MILLI = 1_000_000;

    private static final RouterLoad TWICE_TOO_HIGH = new RouterLoad(80, 0, 0);

    private static AdmittedShare overloaded() {
        AdmittedShare share = new AdmittedShare();
        for (int sample = 0; sample < 100; sample++) {
            share.update(TWICE_TOO_HIGH, true);
        }
        return share;
    }

    @Test
    public void anOverloadedRouterStillAdmitsEveryFourthConnection() {
        AdmittedShare share = overloaded();
        for (int group = 0; group < 20; group++) {
            int admitted = 0;
            for (int connection = 0; connection < 4; connection++) {
                admitted += share.admitNext() ? 1 : 0;
            }
            assertEquals(admitted, 1, "group " + group);
        }
    }

    @Test
    public void aRouterWithoutLoadAdmitsAll() {
        AdmittedShare share = overloaded();
        for (int sample = 0; sample < 100; sample++) {
            share.update(RouterLoad.NONE, true);
        }
        for (int connection = 0; connection < 100; connection++) {
            assertTrue(share.admitNext());
        }
    }

    @Test
    public void nothingIsClosedWhereNoOtherRouterHasRoom() {
        AdmittedShare share = overloaded();
        share.update(TWICE_TOO_HIGH, false);
        for (int connection = 0; connection < 100; connection++) {
            assertTrue(share.admitNext());
        }
    }

    @Test
    public void aSlowUpstreamIsNoDelayOfTheRouter() {
        ConnectDelay delay = new ConnectDelay(4);
        for (int sample = 0; sample < 8; sample++) {
            delay.record(List.of(MILLI, 300 * MILLI, 400 * MILLI));
        }
        assertEquals(delay.millis(), 0);
        for (int sample = 0; sample < 4; sample++) {
            delay.record(Collections.nCopies(3, 151 * MILLI));
        }
        assertEquals(delay.millis(), 150);
    }

    @Test
    public void aSuspensionOfTheProcessIsNoLoad() {
        LoopDelay delay = new LoopDelay(4);
        for (long sample : new long[] {0, 1, 3000, 2, 0}) {
            delay.record(sample);
        }
        assertEquals(delay.persistentMillis(), 0);
        for (int sample = 0; sample < 4; sample++) {
            delay.record(90 + sample);
        }
        assertEquals(delay.persistentMillis(), 90);
    }
}
