package org.troutpier.common.eventstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.result.TroutpierException;

/** Events end at their blank line, whatever ends their lines. */
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
        mSplitter.feed(
                bytes.getBytes(StandardCharsets.US_ASCII), event -> mEvents.add(event.bytes()));
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

    @DataProvider
    Object[][] lineEnds() {
        return new Object[][] {{"\n"}, {"\r\n"}, {"\r"}};
    }

    /** Guards against the longest event depending on how its lines end. */
    @Test(dataProvider = "lineEnds")
    public void theLongestEventIsTheSameForEachLineEnd(String end) {
        String longest = "x".repeat(ServerSentEventSplitter.MAX_EVENT_BYTES);
        feed(longest + end + end);
        assertEquals(mEvents.size(), 1);
        assertThrows(TroutpierException.class, () -> feed(longest + "x" + end + end));
        assertEquals(mEvents.size(), 1);
    }

    /** Guards against an event that waits for the byte after its blank line. */
    @Test(dataProvider = "lineEnds")
    public void anEventIsPassedOnWithTheByteThatCompletesIt(String end) {
        String blankLine = end.substring(0, 1);
        feed("id: 1" + end + blankLine);
        assertEquals(mEvents.size(), 1);
        feed(end.substring(1) + "id: 2" + end + end);
        assertEquals(mEvents.size(), 2);
        assertEquals(new String(mEvents.get(1), StandardCharsets.US_ASCII), "id: 2" + end + end);
        assertFalse(mSplitter.hasPartialEvent());
    }

    /** Guards against events that are joined or cut where line ends are mixed or divided. */
    @Test
    public void eventsDoNotDependOnTheirLineEndsOrParts() {
        long seed = System.nanoTime();
        System.out.println("ServerSentEventSplitterTest seed " + seed);
        Random random = new Random(seed);
        for (int round = 0; round < 500; round++) {
            start();
            StringBuilder all = new StringBuilder();
            int count = 1 + random.nextInt(10);
            for (int event = 1; event <= count; event++) {
                all.append("id: ").append(event).append(lineEnd(random));
                all.append("data: x").append(lineEnd(random)).append(lineEnd(random));
                if (random.nextBoolean()) {
                    all.append(": c").append(lineEnd(random));
                }
            }
            String sent = all.toString();
            List<String> expected = referenceEvents(sent);
            List<String> ids = new ArrayList<>();
            StringBuilder passedOn = new StringBuilder();
            for (int at = 0; at < sent.length(); ) {
                int next = Math.min(sent.length(), at + 1 + random.nextInt(5));
                mSplitter.feed(
                        sent.substring(at, next).getBytes(StandardCharsets.US_ASCII),
                        new ServerSentEventSplitter.Listener() {
                            @Override
                            public void onEvent(ServerSentEvent event) {
                                event.id().ifPresent(ids::add);
                                passedOn.append(
                                        new String(event.bytes(), StandardCharsets.US_ASCII));
                            }

                            @Override
                            public void onTrailingLineFeed() {
                                passedOn.append('\n');
                            }
                        });
                at = next;
            }
            assertEquals(ids, expected, "seed " + seed);
            assertTrue(sent.startsWith(passedOn.toString()), "seed " + seed);
        }
    }

    private static String lineEnd(Random random) {
        return new String[] {"\n", "\r\n", "\r"}[random.nextInt(3)];
    }

    /** Returns the ids of the complete events, found line by line with the standard's line ends. */
    private static List<String> referenceEvents(String text) {
        List<String> ids = new ArrayList<>();
        String id = null;
        String[] lines = text.split("\r\n|\n|\r", -1);
        for (int line = 0; line < lines.length - 1; line++) {
            if (lines[line].startsWith("id: ")) {
                id = lines[line].substring("id: ".length());
            } else if (lines[line].isEmpty() && id != null) {
                ids.add(id);
                id = null;
            }
        }
        return ids;
    }

    /** Guards against ids and data that are read differently than browsers read them. */
    @Test
    public void fieldsAreReadAsTheStandardSays() {
        ServerSentEvent event =
                ServerSentEvent.of(
                        "\uFEFFidx: 9\r\nid:1\rdata\n: c\nid: 2\ndata:  a\n\n"
                                .getBytes(StandardCharsets.UTF_8),
                        true);
        assertEquals(event.id().orElseThrow(), "2");
        assertEquals(event.data().orElseThrow(), "\n a");
        assertFalse(event.isComment());
        assertTrue(
                ServerSentEvent.of(": c\n\n".getBytes(StandardCharsets.UTF_8), false).isComment());
    }
}
