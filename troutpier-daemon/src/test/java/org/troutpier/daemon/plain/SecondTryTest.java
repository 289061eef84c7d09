package org.troutpier.daemon.plain;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamEntry;

/** When a silent call goes to a second upstream. */
public final class SecondTryTest {

    private static Room room(String id, int calls) {
        UpstreamEntry upstream =
                new UpstreamEntry(
                        UpstreamIncarnation.of(id),
                        "service",
                        new Address("127.0.0.1", 1),
                        new HallId("hall"),
                        6,
                        UpstreamEntry.Role.PLAIN,
                        false);
        return new Room(upstream, 20, calls, 0, true, ConcurrencyLimit.Cause.TARGET);
    }

    @Test
    public void aCallMovesOnlyIfItsAnswerCanBeInTime() {
        assertTrue(new SecondTry(room("a", 8), room("b", 3), 40).isInTime(40));
        assertFalse(new SecondTry(room("a", 8), room("b", 3), 41).isInTime(40));
    }

    @Test
    public void aCallDoesNotMoveToAFullerOrFullUpstream() {
        assertFalse(new SecondTry(room("a", 8), room("b", 9), 40).hasRoom());
        assertFalse(new SecondTry(room("a", 30), room("b", 20), 40).hasRoom());
        assertTrue(new SecondTry(room("a", 8), room("b", 8), 40).hasRoom());
    }
}
