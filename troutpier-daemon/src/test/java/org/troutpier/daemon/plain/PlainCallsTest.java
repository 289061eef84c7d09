package org.troutpier.daemon.plain;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.InstanceId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.cluster.LoadReport;
import org.troutpier.daemon.cluster.PeerLoads;
import org.troutpier.daemon.cluster.ReportScope;
import org.troutpier.daemon.cluster.TestReports;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.limit.FlowKey;
import org.troutpier.daemon.node.ManualClock;

/** Waiting calls of a router that hears of another one, in virtual time. */
public final class PlainCallsTest {

    private static final HallId HALL = new HallId("hall");

    private static final int SLOTS = 6;

    private static final long TARGET_MILLIS = 800;

    private final ManualClock mTime = new ManualClock();

    /** The calls at each upstream. */
    private final Map<UpstreamEntry, Integer> mBusy = new HashMap<>();

    private final PlainCalls mCalls =
            new PlainCalls(
                    new ClockSchedule(),
                    new FleetView(mBusy::get, peers(), () -> 2),
                    new Random(1),
                    new MetricRegistry());

    /** Runs actions at the test's time. */
    private final class ClockSchedule implements Schedule {

        @Override
        public long millis() {
            return mTime.millis();
        }

        @Override
        public void runFresh(Runnable action, long millis) {
            mTime.loop().schedule(action, millis);
        }
    }

    /** Counts the outcomes of a call. */
    private static final class Outcome implements PlainCall.Listener {

        private int mAdmitted;

        private int mRefused;

        @Override
        public void onAdmitted(List<UpstreamEntry> upstreams) {
            mAdmitted++;
        }

        @Override
        public void onRefused(String detail, long retryAfterMillis) {
            mRefused++;
        }
    }

    private static PeerLoads peers() {
        PeerLoads peers = new PeerLoads();
        LoadReport report = TestReports.ofUses(Map.of());
        Incarnation sender = Incarnation.create(new InstanceId("other"));
        peers.update(sender, HALL, ReportScope.OWN, report, 0);
        peers.aggregate(0);
        return peers;
    }

    private UpstreamEntry upstream(String id) {
        UpstreamEntry upstream =
                new UpstreamEntry(
                        UpstreamIncarnation.of(id),
                        "service",
                        new Address("127.0.0.1", 1),
                        HALL,
                        SLOTS,
                        UpstreamEntry.Role.PLAIN,
                        false);
        mBusy.put(upstream, 0);
        return upstream;
    }

    private Outcome submit(UpstreamEntry... upstreams) {
        Outcome outcome = new Outcome();
        FlowKey flow = new FlowKey(0, FlowKey.NO_ORGANISATION);
        mCalls.submit(
                new PlainCall("service", flow, 0, TARGET_MILLIS, 5000, 0, () -> List.of(upstreams)),
                outcome);
        return outcome;
    }

    @Test
    public void aCallForAFullUpstreamDoesNotHoldUpCallsForOthers() {
        UpstreamEntry first = upstream("first");
        UpstreamEntry second = upstream("second");
        assertEquals(submit(first, second).mAdmitted, 1);
        mBusy.replaceAll((upstream, calls) -> 4 * SLOTS);
        Outcome pinned = submit(first);
        Outcome other = submit(first, second);
        mTime.advance(10);
        assertEquals(other.mAdmitted, 0);
        mBusy.put(second, 0);
        mTime.advance(30);
        assertEquals(other.mAdmitted, 1);
        assertEquals(pinned.mAdmitted + pinned.mRefused, 0);
        mTime.advance(TARGET_MILLIS);
        assertEquals(pinned.mRefused, 1);
    }
}
