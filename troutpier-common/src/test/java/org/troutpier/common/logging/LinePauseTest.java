package org.troutpier.common.logging;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** How lines are kept apart. */
public final class LinePauseTest {

    @Test
    public void theFirstLineIsWrittenAndTheNextAfterThePause() {
        LinePause pause = new LinePause(1000);
        assertTrue(pause.over(0));
        assertFalse(pause.over(999));
        assertTrue(pause.over(1000));
        assertFalse(pause.over(1999));
    }
}
