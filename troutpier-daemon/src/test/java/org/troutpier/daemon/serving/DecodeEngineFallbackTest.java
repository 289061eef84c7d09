package org.troutpier.daemon.serving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests when a decode engine processes a prompt whose prefill engines are silent. */
public final class DecodeEngineFallbackTest {

    @Test
    public void theDecodeEngineBeginsOnceItTakesNoLongerThanTheWaitSoFar() {
        DecodeEngineFallback fallback = new DecodeEngineFallback(600);
        assertFalse(fallback.isDue(599, 5000));
        assertTrue(fallback.isDue(600, 5000));
    }

    @Test
    public void theDecodeEngineDoesNotBeginWhatItCannotEndByTheDeadline() {
        assertFalse(new DecodeEngineFallback(600).isDue(1000, 600));
    }

    @Test
    public void theDecodeEngineBeginsAtOnceWhereNothingIsPredicted() {
        assertTrue(new DecodeEngineFallback(0).isDue(0, 1));
    }

    @Test
    public void aPredictionIsADuration() {
        assertThrows(IllegalArgumentException.class, () -> new DecodeEngineFallback(-1));
        assertThrows(IllegalArgumentException.class, () -> new DecodeEngineFallback(Double.NaN));
    }
}
