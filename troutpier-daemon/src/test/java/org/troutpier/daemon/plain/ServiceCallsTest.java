package org.troutpier.daemon.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
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
import org.troutpier.daemon.cluster.UpstreamUsage;
import org.troutpier.daemon.directory.UpstreamEntry;

/** The limits of a router that has just started, with reports of another router and without. */
public final class ServiceCallsTest {

    private static final int SLOTS = 6;

    private static final int ROUTERS = 4;

    private static final HallId HALL = new HallId("hall");

    private static final UpstreamEntry UPSTREAM = upstream("upstream");

    private static final List<UpstreamEntry> ALL =
            List.of(UPSTREAM, upstream("second"), upstream("third"), upstream("fourth"));

    /** Time within which calls are to be answered, milliseconds. */
    private static final int ANSWER_MILLIS = 170;

    private PeerLoads mPeers;

    private ServiceCalls mCalls;

    @BeforeMethod
    void setUp() {
        mPeers = new PeerLoads();
        mCalls =
                new ServiceCalls(
                        new FleetView(
                                each -> mPeers.upstreamUsage(each.incarnation()).calls(),
                                mPeers,
                                () -> ROUTERS));
    }

    private static UpstreamEntry upstream(String id) {
        return new UpstreamEntry(
                UpstreamIncarnation.of(id),
                "service",
                new Address("127.0.0.1", 1),
                HALL,
                SLOTS,
                UpstreamEntry.Role.PLAIN,
                false);
    }

    /** Returns the calls that a router which is alone and was never part of several may send. */
    private static int freeAlone(ServiceCalls calls, List<UpstreamEntry> upstreams) {
        return calls.rooms(upstreams, ANSWER_MILLIS, 0).stream().mapToInt(UpstreamRoom::free).sum();
    }

    private static ServiceCalls alone() {
        return new ServiceCalls(new FleetView(each -> 0, new PeerLoads(), () -> 1));
    }

    private void report(int calls) {
        LoadReport report =
                TestReports.ofUses(Map.of(UPSTREAM.incarnation(), UpstreamUsage.of(calls, 0)));
        Incarnation sender = Incarnation.create(new InstanceId("other"));
        mPeers.update(sender, HALL, ReportScope.OWN, report, 0);
        mPeers.aggregate(0);
    }

    private UpstreamRoom room() {
        return mCalls.rooms(List.of(UPSTREAM), ANSWER_MILLIS, 0).get(0);
    }

    @Test
    public void theCallsOfOthersAtTheStartAreTakenAsTheLimit() {
        report(15);
        assertEquals(room().limit(), 15);
    }

    @Test
    public void anUpstreamWithoutCallsBeginsAtItsSlots() {
        report(0);
        assertEquals(room().limit(), SLOTS);
    }

    @Test
    public void withoutReportsARouterHasItsPartOrOneCallInFlight() {
        assertEquals(room().free(), SLOTS / ROUTERS);
        mCalls.begin();
        assertEquals(room().free(), 0);
        mCalls.end();
        assertEquals(room().free(), SLOTS / ROUTERS);
        report(0);
        assertEquals(room().free(), SLOTS);
    }

    @Test
    public void withoutReportsTheLateAnswersOfOneUpstreamLeaveTheOthersTheirRoom() {
        ServiceCalls calls = alone();
        int before = freeAlone(calls, ALL);
        assertEquals(before, ALL.size() * SLOTS);
        for (int answer = 0; answer < SLOTS; answer++) {
            calls.recordAnswer(UPSTREAM, 250, SLOTS, false, 0);
            calls.recordFull(UPSTREAM, 0);
        }
        assertTrue(freeAlone(calls, ALL.subList(1, ALL.size())) >= before - SLOTS);
    }

    @Test
    public void withoutReportsCallsThatASlowUpstreamHoldsAreNotTakenFromTheOthers() {
        ServiceCalls calls =
                new ServiceCalls(
                        new FleetView(
                                each -> each.equals(UPSTREAM) ? SLOTS : 0,
                                new PeerLoads(),
                                () -> 1));
        freeAlone(calls, ALL);
        for (int call = 0; call < SLOTS; call++) {
            calls.begin();
            calls.recordAnswer(UPSTREAM, 250, SLOTS, false, 0);
        }
        // the slow upstream keeps one call, so that it is still tried
        assertEquals(freeAlone(calls, ALL), (ALL.size() - 1) * SLOTS - 1);
    }

    @Test
    public void withoutReportsAnUpstreamThatIsAlwaysLateIsStillTried() {
        ServiceCalls calls = alone();
        freeAlone(calls, List.of(UPSTREAM));
        for (int answer = 0; answer < 2000; answer++) {
            calls.recordAnswer(UPSTREAM, 250, 1, false, 0);
        }
        assertEquals(freeAlone(calls, List.of(UPSTREAM)), 1);
    }

    @Test
    public void withoutReportsAnswersInTimeDoNotRaiseThePartAboveTheLimit() {
        ServiceCalls calls = alone();
        freeAlone(calls, ALL);
        for (int answer = 0; answer < 100; answer++) {
            calls.recordAnswer(UPSTREAM, 10, 1, true, 300);
        }
        calls.recordAnswer(UPSTREAM, 250, SLOTS, false, 600);
        assertEquals(freeAlone(calls, List.of(UPSTREAM)), SLOTS / 2);
    }

    @Test
    public void withoutReportsACallForOneUpstreamDoesNotReduceThePartOfAll() {
        ServiceCalls calls = alone();
        freeAlone(calls, List.of(UPSTREAM));
        assertEquals(freeAlone(calls, ALL), ALL.size() * SLOTS);
    }
}
