package org.troutpier.daemon.waiting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.MemoryAdmission;
import org.troutpier.daemon.limit.FlowKey;

/** Room for short prompts while a long one waits, here or at another router. */
public final class RoomFinderTest {

    private static final long NOW = 100_000;
    private static final long SHORT = 3000;
    private static final long LONG = 9000;
    private static final MemoryAdmission ROOM = new MemoryAdmission.ForMargin(0, 50_000);

    private final UpstreamEntry mFirst = engine("first");
    private final UpstreamEntry mSecond = engine("second");
    private final Map<UpstreamEntry, Long> mTokens = new HashMap<>();
    private WaitingReport mPeers = WaitingReport.NONE;
    private final SharedOrder mOrder =
            new SharedOrder(now -> mPeers, service -> 4000, new MetricRegistry());
    private final BackfillReservation mBackfill = new BackfillReservation(mOrder);

    /** Engines with eight runs each. */
    private final class FakeLoads implements RoomFinder.EngineLoads {
        @Override
        public boolean knowsOthers() {
            return true;
        }

        @Override
        public boolean isFull(UpstreamEntry engine, long now) {
            return false;
        }

        @Override
        public long tokens(UpstreamEntry engine) {
            return mTokens.get(engine);
        }

        @Override
        public int calls(UpstreamEntry engine) {
            return 8;
        }
    }

    private static UpstreamEntry engine(String id) {
        return new UpstreamEntry(
                UpstreamIncarnation.of(id),
                "model",
                new Address("127.0.0.1", 1),
                new HallId("hall"),
                12,
                UpstreamEntry.Role.DECODE,
                false);
    }

    private static WaitingRequest request(long tokens, long latestStart) {
        FlowKey flow = new FlowKey(0, FlowKey.NO_ORGANISATION);
        Claim claim = new Claim(QueueTier.IN_TIME, flow, NOW + latestStart, tokens);
        return new WaitingRequest("model", claim);
    }

    private RoomFinder finder(WaitingRequest request, long tokens) {
        return new RoomFinder(mOrder, mBackfill, new FakeLoads(), request, ROOM, tokens);
    }

    @Test
    public void theEngineThatHoldsALongPromptIsLeftToItForALimitedTime() {
        mTokens.put(mFirst, 40_000L);
        mTokens.put(mSecond, 30_000L);
        mPeers =
                new WaitingReport(
                        WaitingReport.entriesOf(List.of(request(LONG, 300)), NOW), Map.of(), 0);
        RoomFinder finder = finder(request(SHORT, 900), SHORT);
        List<UpstreamEntry> engines = List.of(mFirst, mSecond);
        assertEquals(finder.usable(engines, NOW), List.of(mSecond));
        assertEquals(finder.usable(engines, NOW + 50), List.of(mSecond));
        assertEquals(finder.usable(engines, NOW + HoldBack.MAX_MILLIS), engines);
    }

    @Test
    public void theEngineKeptForALongPromptIsUsedOnlyBesideIt() {
        mTokens.put(mFirst, 45_000L);
        mTokens.put(mSecond, 49_000L);
        WaitingRequest longOne = request(LONG, 300);
        WaitingRequest shortOne = request(SHORT, 900);
        finder(longOne, LONG).recordBlocked(List.of(mSecond, mFirst), NOW);
        mTokens.put(mSecond, 45_000L);
        boolean firstIsKept = mBackfill.tokensKept(mFirst.incarnation(), shortOne, NOW) > 0;
        UpstreamEntry kept = firstIsKept ? mFirst : mSecond;
        UpstreamEntry other = firstIsKept ? mSecond : mFirst;
        assertFalse(finder(shortOne, SHORT).hasRoom(kept, NOW));
        assertTrue(finder(shortOne, SHORT).hasRoom(other, NOW));
        mTokens.put(kept, 50_000 - LONG - SHORT);
        assertTrue(finder(shortOne, SHORT).hasRoom(kept, NOW));
        mTokens.put(kept, 45_000L);
        mBackfill.recordEnd(longOne);
        assertTrue(finder(shortOne, SHORT).hasRoom(kept, NOW));
    }
}
