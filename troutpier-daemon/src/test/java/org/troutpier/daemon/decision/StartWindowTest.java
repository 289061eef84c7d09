package org.troutpier.daemon.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.daemon.decision.StartWindow.Prediction;

/** How long a request waits for memory, and what is predicted of it. */
public final class StartWindowTest {

    private static final Prediction READ_SOON = new Prediction(150, 50);
    private static final Prediction READ_LATE = new Prediction(880, 50);

    @Test
    public void aRequestWaitsAsLongAsItCanStillBeInTime() {
        assertEquals(new StartWindow(900, 0, 14_000, Standing.IN_TIME).waitMillis(READ_SOON), 700);
        assertEquals(
                new StartWindow(900, 600, 13_400, Standing.IN_TIME).waitMillis(READ_SOON), 100);
        assertEquals(new StartWindow(900, 800, 13_200, Standing.IN_TIME).waitMillis(READ_SOON), 0);
    }

    @Test
    public void aLateRequestWaitsWhileItsCallerIsLikelyToBeThere() {
        assertEquals(new StartWindow(900, 0, 9000, Standing.LATE).waitMillis(READ_SOON), 2700);
        assertEquals(new StartWindow(900, 0, 500, Standing.LATE).waitMillis(READ_SOON), 500);
        assertEquals(new StartWindow(900, 0, 9000, Standing.CONTINUED).waitMillis(READ_LATE), 900);
    }

    @Test
    public void noPromptIsReadWhoseReadingAloneTakesTooLong() {
        assertTrue(new StartWindow(900, 0, 14_000, Standing.IN_TIME).mayRead(READ_SOON));
        assertFalse(new StartWindow(900, 0, 14_000, Standing.IN_TIME).mayRead(READ_LATE));
        assertFalse(new StartWindow(900, 800, 14_000, Standing.IN_TIME).mayRead(READ_SOON));
        assertTrue(new StartWindow(900, 800, 14_000, Standing.LATE).mayRead(READ_SOON));
        assertFalse(new StartWindow(900, 0, 14_000, Standing.LATE).mayRead(READ_LATE));
    }

    @Test
    public void whatIsKnownToBeTooLateIsRefusedAtOnce() {
        StartWindow window = new StartWindow(900, 0, 14_000, Standing.IN_TIME);
        assertFalse(window.hopeless(0, READ_SOON));
        assertFalse(window.hopeless(650, READ_SOON));
        assertTrue(window.hopeless(750, READ_SOON));
    }

    @Test
    public void roomIsPredictedFromWhatRunsAndWhatWaits() {
        RoomForecast free = new RoomForecast(4, 100_000, 38_000, 0, 3600);
        assertEquals(free.millis(3200), 0.0);
        RoomForecast full = new RoomForecast(4, 152_000, 38_000, 0, 3600);
        assertEquals(full.millis(3200), 3200 * 3600 / 152_000.0, 0.1);
        RoomForecast grown = new RoomForecast(4, 160_000, 38_000, 0, 3600);
        assertEquals(grown.millis(3200), 3200 * 3600 / 160_000.0, 0.1);
        RoomForecast queue = new RoomForecast(4, 152_000, 38_000, 32_000, 3600);
        assertEquals(queue.millis(3200), 35_200 * 3600 / 152_000.0, 0.1);
        assertEquals(new RoomForecast(4, 152_000, 38_000, 32_000, 0).millis(3200), 0.0);
    }

    @Test
    public void delaysAreLearnt() {
        DelayEstimate delay = new DelayEstimate(60);
        assertEquals(delay.millis(), 60.0);
        for (int run = 0; run < 100; run++) {
            delay.took(200 + run % 2 * 20);
        }
        assertTrue(delay.millis() > 205 && delay.millis() < 260, "after " + delay.millis());
        for (int run = 0; run < 100; run++) {
            delay.took(-50);
        }
        assertEquals(delay.millis(), 0.0);
    }
}
