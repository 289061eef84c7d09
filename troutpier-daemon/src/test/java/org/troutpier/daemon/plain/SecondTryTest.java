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

    private static UpstreamRoom room(String id, int calls) {
        UpstreamEntry upstream =
                new UpstreamEntry(
                        UpstreamIncarnation.of(id),
                        "service",
                        new Address("127.0.0.1", 1),
                        new HallId("hall"),
                        6,
                        UpstreamEntry.Role.PLAIN,
                        false);
        return new UpstreamRoom(upstream, 20, calls, 0, true, ConcurrencyLimit.Cause.TARGET);
    }

    private static SecondTry secondTry(int firstCalls, int secondCalls) {
        return new SecondTry(room("a", firstCalls), room("b", secondCalls), 70, 40);
    }

    @Test
    public void aCallMovesOnlyIfItsAnswerCanBeInTime() {
        assertTrue(secondTry(8, 3).isInTime(70, 40));
        assertFalse(secondTry(8, 3).isInTime(70, 39));
    }

    @Test
    public void aCallThatIsQueuedAsPredictedDoesNotMove() {
        assertFalse(secondTry(8, 3).isInTime(69, 40));
    }

    @Test
    public void aCallDoesNotMoveToAFullerUpstreamWhileItsTargetCanBeMet() {
        assertFalse(secondTry(8, 9).isInTime(70, 40));
        assertTrue(secondTry(8, 8).isInTime(70, 40));
    }

    @Test
    public void aLateCallMovesToAnyUpstreamWithRoom() {
        assertTrue(secondTry(1, 9).hasRoom());
        assertFalse(secondTry(30, 20).hasRoom());
    }
}
