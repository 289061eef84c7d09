package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.common.result.TroutpierException;

/** Events are relayed complete and in order. */
public final class EventRelayTest {

    private FakeCaller mCaller;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static EventRelay.Source run(EventRelay relay) {
        return relay.new Source(TestUpstreams.decode("a"));
    }

    @BeforeMethod
    void setUp() {
        mCaller = new FakeCaller();
    }

    @Test
    public void onlyCompleteEventsAreRelayed() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.empty(), engine -> {});
        EventRelay.Source run = run(relay);
        run.feed(bytes("id: 1\ndata: a\n\nid: 2\nda"), numbered -> true);
        assertEquals(mCaller.text(), "id: 1\ndata: a\n\n");
        assertFalse(run.atEventBoundary());
        run.feed(bytes("ta: b\n\n"), numbered -> true);
        assertTrue(run.atEventBoundary());
        assertEquals(relay.lastEventId(), OptionalLong.of(2));
    }

    @Test
    public void nextRunContinuesAfterTheLastCompleteEvent() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.empty(), engine -> {});
        run(relay).feed(bytes("id: 1\ndata: a\n\nid: 2\nda"), numbered -> true);
        run(relay).feed(bytes("id: 2\ndata: b\n\n"), numbered -> true);
        assertEquals(mCaller.text(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Test
    public void outOfOrderEventIsNotRelayed() {
        for (int id = 0; id <= 4; id++) {
            byte[] event = bytes("id: " + id + "\ndata: a\n\n");
            EventRelay relay = new EventRelay(mCaller, OptionalLong.of(4), engine -> {});
            assertThrows(TroutpierException.class, () -> run(relay).feed(event, numbered -> true));
        }
        assertEquals(mCaller.text(), "");
    }

    @Test
    public void aFirstLineBeforeTheIdIsKept() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.of(0), engine -> {});
        run(relay).feed(bytes("weight-versions: 2\nid: 1\ndata: a\n\n"), numbered -> true);
        assertEquals(mCaller.text(), "weight-versions: 2\nid: 1\ndata: a\n\n");
        assertEquals(relay.lastEventId(), OptionalLong.of(1));
    }

    @Test
    public void anySplitOfTheBytesYieldsTheSameEvents() {
        long seed = System.nanoTime();
        System.out.println("EventRelayTest seed " + seed);
        Random random = new Random(seed);
        for (int round = 0; round < 500; round++) {
            FakeCaller caller = new FakeCaller();
            EventRelay.Source run = run(new EventRelay(caller, OptionalLong.empty(), engine -> {}));
            StringBuilder all = new StringBuilder();
            for (int event = 1; event <= 1 + random.nextInt(20); event++) {
                all.append("id: ").append(event).append("\ndata: ");
                all.append("x".repeat(random.nextInt(300))).append("\n\n");
            }
            byte[] bytes = bytes(all.toString());
            for (int at = 0; at < bytes.length; ) {
                int next = Math.min(bytes.length, at + 1 + random.nextInt(100));
                run.feed(java.util.Arrays.copyOfRange(bytes, at, next), numbered -> true);
                at = next;
            }
            assertEquals(caller.text(), all.toString(), "seed " + seed);
        }
    }

    /** Guards against closing the streams of upstreams whose ids rise by more than one. */
    @Test
    public void idsThatRiseNeedNotBeConsecutive() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.empty(), engine -> {});
        String events = "id: 2\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n";
        run(relay).feed(bytes(events), numbered -> true);
        assertEquals(mCaller.text(), events);
        run(relay).feed(bytes("id: 8\ndata: d\n\n"), numbered -> true);
        assertEquals(relay.lastEventId(), OptionalLong.of(8));
    }

    /** Guards against an event left out by an upstream that nothing reports. */
    @Test
    public void anEventThatIsLeftOutIsCounted() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.of(1), engine -> {});
        run(relay).feed(bytes("id: 2\ndata: a\n\nid: 4\ndata: b\n\n"), numbered -> true);
        assertEquals(relay.idGaps(), 1);
    }

    @DataProvider
    Object[][] lineEnds() {
        return new Object[][] {{"\r\n"}, {"\r"}, {"\n"}};
    }

    /** Guards against streams of which no event is relayed because of how their lines end. */
    @Test(dataProvider = "lineEnds")
    public void eventsAreRelayedWhateverEndsTheirLines(String end) {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.empty(), engine -> {});
        EventRelay.Source run = run(relay);
        String sent = "id: 1\ndata: a\n\nid:2\ndata: b\n\n".replace("\n", end);
        for (byte each : bytes(sent)) {
            run.feed(new byte[] {each}, numbered -> true);
        }
        assertEquals(mCaller.text(), sent);
        assertEquals(relay.lastEventId(), OptionalLong.of(2));
        assertTrue(run.atEventBoundary());
    }

    /** Guards against comments that count as events. */
    @Test
    public void commentsAreRelayedButAreNoEvents() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.empty(), engine -> {});
        run(relay).feed(bytes(": alive\n\n"), numbered -> true);
        assertEquals(relay.eventCount(), 0);
        assertEquals(mCaller.text(), ": alive\n\n");
    }

    /** Guards against a byte order mark in the middle of an answer, which hides an id. */
    @Test
    public void aByteOrderMarkIsRelayedAtTheStartOnly() {
        EventRelay relay = new EventRelay(mCaller, OptionalLong.empty(), engine -> {});
        run(relay).feed(bytes("\uFEFFid: 1\ndata: a\n\n"), numbered -> true);
        run(relay).feed(bytes("\uFEFFid: 2\ndata: b\n\n"), numbered -> true);
        assertEquals(mCaller.text(), "\uFEFFid: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertEquals(relay.lastEventId(), OptionalLong.of(2));
    }
}
