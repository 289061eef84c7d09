package org.troutpier.common.collection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests expiry and eviction. */
public final class ExpiringMapTest {

    @Test
    public void whatIsTooOldIsForgottenTheOldestFirst() {
        ExpiringMap<String, Integer> map = new ExpiringMap<>(2, 100);
        map.put("a", 1, 0);
        map.put("b", 2, 50);
        assertEquals(map.get("a", 100), Optional.of(1));
        assertEquals(map.get("a", 101), Optional.empty());
        assertFalse(map.isEmpty(150));
        assertTrue(map.isEmpty(151));
    }

    @Test
    public void ofTooManyTheOneIsForgottenThatChangedFirst() {
        ExpiringMap<String, Integer> map = new ExpiringMap<>(2, 100);
        map.put("a", 1, 0);
        map.put("b", 2, 1);
        map.put("a", 3, 2);
        map.put("c", 4, 3);
        assertEquals(List.copyOf(map.values(3).keySet()), List.of("a", "c"));
        assertEquals(map.get("a", 3), Optional.of(3));
        map.remove("a");
        assertEquals(map.get("a", 3), Optional.empty());
    }
}
