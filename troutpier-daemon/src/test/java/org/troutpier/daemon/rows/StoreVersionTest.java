package org.troutpier.daemon.rows;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.common.settings.FieldException;

/** Order of the versions of a store that assigns numbers again after a restore. */
public final class StoreVersionTest {

    @Test
    public void versionsOfALaterEraAreGreaterThanAllOfAnEarlierOne() {
        assertTrue(StoreVersion.of(2, 1) > StoreVersion.of(1, 1_000_000_000_000L));
        assertTrue(StoreVersion.of(1, 2) > StoreVersion.of(1, 1));
        assertTrue(StoreVersion.of(1, 1) > StoreVersion.of(0, 55));
        assertTrue(StoreVersion.of(2, 0) > StoreVersion.of(1, 55), "an empty store");
    }

    @Test
    public void eraAndNumberAreKept() {
        long version = StoreVersion.of(3, 57);
        assertEquals(StoreVersion.era(version), 3);
        assertEquals(StoreVersion.number(version), 57);
        assertEquals(StoreVersion.of(0, 57), 57, "a store that names no era");
    }

    @Test
    public void aMissingRowHasTheSameVersionInAllEras() {
        assertEquals(StoreVersion.ofRow(7, 0), StoreVersion.NONE);
        assertEquals(StoreVersion.ofRow(7, 1), StoreVersion.of(7, 1));
        assertTrue(StoreVersion.isValidIn(StoreVersion.NONE, 7));
        assertTrue(StoreVersion.isValidIn(StoreVersion.of(7, 1), 7));
        assertFalse(StoreVersion.isValidIn(StoreVersion.of(6, 1), 7));
    }

    @Test
    public void valuesOutOfRangeAreRejected() {
        assertThrows(FieldException.class, () -> StoreVersion.of(-1, 1));
        assertThrows(FieldException.class, () -> StoreVersion.of(1L << 13, 1));
        assertThrows(FieldException.class, () -> StoreVersion.of(1, 1L << 40));
    }
}
