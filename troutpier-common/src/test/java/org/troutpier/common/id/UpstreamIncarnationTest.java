package org.troutpier.common.id;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.http.Json;

/** Tests comparison of runs of an upstream. */
public final class UpstreamIncarnationTest {

    private static final UpstreamIncarnation UNKNOWN_START = UpstreamIncarnation.of("i-1");
    private static final UpstreamIncarnation FIRST =
            new UpstreamIncarnation(new UpstreamId("i-1"), 1_771_580_250_000L);
    private static final UpstreamIncarnation SECOND =
            new UpstreamIncarnation(new UpstreamId("i-1"), 1_771_580_250_001L);
    private static final UpstreamIncarnation OTHER =
            new UpstreamIncarnation(new UpstreamId("i-2"), 1_771_580_250_002L);

    @Test
    public void onlyALaterStartOfTheSameUpstreamFollows() {
        assertTrue(SECOND.startedAfter(FIRST));
        assertFalse(FIRST.startedAfter(SECOND));
        assertFalse(FIRST.startedAfter(FIRST));
        assertFalse(OTHER.startedAfter(FIRST));
    }

    @Test
    public void aStartThatIsNotToldFollowsNoneAndIsFollowedByNone() {
        assertFalse(UNKNOWN_START.startedAfter(FIRST));
        assertFalse(FIRST.startedAfter(UNKNOWN_START));
        assertTrue(UNKNOWN_START.mayEqual(FIRST));
        assertTrue(FIRST.mayEqual(UNKNOWN_START));
        assertFalse(SECOND.mayEqual(FIRST));
        assertFalse(OTHER.mayEqual(UNKNOWN_START));
    }

    @Test
    public void itTravelsAsAKeyAndAnUntoldStartTakesNoRoom() throws IOException {
        Map<UpstreamIncarnation, Integer> sent = Map.of(UNKNOWN_START, 1, FIRST, 2);
        byte[] bytes = Json.bytes(sent);
        Map<UpstreamIncarnation, Integer> read =
                Json.mapper()
                        .readValue(
                                bytes,
                                Json.mapper()
                                        .getTypeFactory()
                                        .constructMapType(
                                                Map.class,
                                                UpstreamIncarnation.class,
                                                Integer.class));
        assertEquals(read, sent);
        assertEquals(UNKNOWN_START.toString(), "i-1");
        assertEquals(UpstreamIncarnation.of(FIRST.toString()), FIRST);
    }

    @Test
    public void whatIsNoStartIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> UpstreamIncarnation.of("i-1~?"));
        assertThrows(IllegalArgumentException.class, () -> UpstreamIncarnation.of("~1"));
        assertThrows(
                IllegalArgumentException.class,
                () -> new UpstreamIncarnation(new UpstreamId("i-1"), -1));
    }
}
