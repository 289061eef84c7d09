package org.troutpier.daemon.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.result.TroutpierException;

public final class ServerSentEventSplitterTest {

    private static final int PART_BYTES = 1024;

    private final List<byte[]> mEvents = new ArrayList<>();

    private ServerSentEventSplitter mSplitter;

    @BeforeMethod
    void start() {
        mEvents.clear();
        mSplitter = new ServerSentEventSplitter();
    }

    private void feed(String bytes) {
        mSplitter.feed(bytes.getBytes(StandardCharsets.US_ASCII), mEvents::add);
    }

    @Test
    public void anEventWithoutEndFailsAtTheLongestEvent() {
        feed("id: 1\n\n");
        for (int fed = 0; fed < ServerSentEventSplitter.MAX_EVENT_BYTES; fed += PART_BYTES) {
            feed("x".repeat(PART_BYTES));
        }
        assertEquals(mEvents.size(), 1);
        assertTrue(mSplitter.hasPartialEvent());
        assertThrows(TroutpierException.class, () -> feed("x"));
    }

    @Test
    public void anEventThatIsTooLongIsNotSkipped() {
        String tooLong = "x".repeat(ServerSentEventSplitter.MAX_EVENT_BYTES + 1);
        assertThrows(TroutpierException.class, () -> feed(tooLong + "\n\nid: 2\n\n"));
        assertEquals(mEvents.size(), 0);
    }
}
