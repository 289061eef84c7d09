package org.troutpier.daemon.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.peer.Membership.Member;

/** Tests to which routers a router reports its load. */
public final class RelayPlanTest {

    private final List<Member> mLive = new ArrayList<>();
    private final Set<Incarnation> mSilent = new HashSet<>();

    @BeforeMethod
    void start() {
        mLive.clear();
        mSilent.clear();
    }

    private Member member(int number, String hall) {
        Incarnation incarnation = new Incarnation(String.format("router-%02d~1", number));
        return new Member(incarnation, new HallId(hall), "127.0.0.1:" + (1000 + number), false);
    }

    private void routers(int count, int halls) {
        for (int number = 0; number < count; number++) {
            mLive.add(member(number, "hall-" + number % halls));
        }
    }

    /** Routers 6 to 11 have a greater capacity than the others. */
    private static int capacity(Member member) {
        int number = Integer.parseInt(member.incarnation().value().substring(7, 9));
        return number >= 6 && number < 12 ? 150 : 10;
    }

    private RelayPlan plan(int number) {
        return RelayPlan.of(
                mLive.get(number),
                mLive,
                RelayPlanTest::capacity,
                router -> !mSilent.contains(router));
    }

    private Set<Integer> numbers(List<Member> members) {
        Set<Integer> numbers = new HashSet<>();
        members.forEach(member -> numbers.add(mLive.indexOf(member)));
        return numbers;
    }

    @Test
    public void fewRoutersReportDirectly() {
        routers(RelayPlan.MAX_DIRECT_ROUTERS, 3);
        RelayPlan plan = plan(0);
        assertTrue(plan.direct());
        assertEquals(plan.connectionTargets(), mLive);
        assertFalse(plan.isRelay());
    }

    @Test
    public void theRouterWithTheGreatestCapacityRelaysForItsHall() {
        routers(30, 3);
        RelayPlan plan = plan(0);
        assertFalse(plan.direct());
        assertEquals(plan.reportTo().get(), mLive.get(6));
        assertEquals(numbers(plan.connectionTargets()), Set.of(6, 9));
        RelayPlan relay = plan(6);
        assertTrue(relay.isRelay());
        assertTrue(relay.tableReader());
        assertTrue(relay.reportTo().isEmpty());
        assertEquals(numbers(relay.relays()), Set.of(7, 8));
        assertEquals(numbers(relay.connectionTargets()), Set.of(6, 9, 7, 10, 8, 11));
        assertFalse(plan(9).tableReader());
        assertFalse(plan(9).isRelay());
        assertEquals(plan(9).reportTo().get(), mLive.get(6));
    }

    @Test
    public void aSilentRelayIsReplacedByTheNext() {
        routers(30, 3);
        mSilent.add(mLive.get(6).incarnation());
        assertEquals(plan(3).reportTo().get(), mLive.get(9));
        assertEquals(numbers(plan(3).connectionTargets()), Set.of(6, 9, 0));
        assertTrue(plan(9).tableReader());
        assertTrue(plan(9).isRelay());
        assertFalse(plan(0).isRelay());
        assertEquals(numbers(plan(7).relays()), Set.of(9, 8));
    }

    @Test
    public void eachHallHasOneTableReaderWithFewRouters() {
        routers(8, 3);
        int readers = 0;
        for (int number = 0; number < 8; number++) {
            readers += plan(number).tableReader() ? 1 : 0;
        }
        assertEquals(readers, 3);
    }

    @Test
    public void connectionsGrowWithHallsNotWithRouters() {
        routers(1800, 6);
        assertTrue(plan(50).connectionTargets().size() <= RelayPlan.RELAY_CANDIDATES);
        assertTrue(plan(6).relays().size() < 6);
    }
}
