package org.troutpier.daemon.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.troutpier.common.declaration.Declarations;
import org.troutpier.common.declaration.PartnerDeclaration;
import org.troutpier.common.declaration.Role;
import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.PartnerId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.peer.Membership;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.daemon.peer.PeerMessage;
import org.troutpier.daemon.placement.UpstreamRegistry;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * Tests the permits of several routers in a simulation: messages are delayed and the clock is set
 * by the test.
 */
public class CoordinatorPermitsTest {

    private static final int ROUTERS = 4;
    private static final int SLOTS = 20;
    private static final long MILLI = 1_000_000L;

    private final AtomicLong mNow = new AtomicLong(1);
    private final List<Router> mRouters = new ArrayList<>();
    private final List<Message> mInFlight = new ArrayList<>();

    private record Message(Incarnation from, Incarnation to, PeerMessage message) {}

    private final class Router {
        final Member mMember;
        final Membership mMembership;
        final UpstreamRegistry mUpstreamRegistry = new UpstreamRegistry();
        final CoordinatorPermits mPermits;
        final ManualControl mControl = new ManualControl();
        int mUsed;

        Router(int number) {
            mMember =
                    new Member(
                            new Incarnation("router-" + number + "~x"),
                            new HallId("nadi"),
                            "127.0.0.1:" + number,
                            false);
            mMembership = new Membership(mMember, mNow::get);
            Node node = TestNode.of(mMember.incarnation(), mMember.hall(), mControl, mNow::get);
            mUpstreamRegistry.apply(declarations());
            mPermits =
                    new CoordinatorPermits(
                            node,
                            mMembership,
                            mUpstreamRegistry,
                            (to, message) ->
                                    mInFlight.add(new Message(mMember.incarnation(), to, message)),
                            () -> {});
        }

        UpstreamState engine() {
            return mUpstreamRegistry.get(new UpstreamId("decode-1"));
        }

        void receive(PeerMessage message, Incarnation from) {
            if (message instanceof PeerMessage.PermitAsk ask) {
                mPermits.onAsk(from, ask);
            } else if (message instanceof PeerMessage.PermitGrant grant) {
                mPermits.onGrant(from, grant);
            } else if (message instanceof PeerMessage.PermitRecall recall) {
                mPermits.returnIdle(new UpstreamId(recall.engine()));
            } else if (message instanceof PeerMessage.PermitReport report) {
                mPermits.onReport(from, report);
            }
        }
    }

    private static Declarations declarations() {
        PartnerId partner = new PartnerId("trust");
        return new Declarations(
                1,
                "one",
                List.of(new PartnerDeclaration(partner, 50, List.of(), List.of(), null, null)),
                List.of(
                        new UpstreamDeclaration(
                                new UpstreamId("decode-1"),
                                partner,
                                Role.DECODE,
                                new HallId("nadi"),
                                new Address("127.0.0.1", 1),
                                "model",
                                SLOTS,
                                null,
                                false)),
                List.of());
    }

    private void exchangeContacts() {
        for (Router one : mRouters) {
            for (Router other : mRouters) {
                if (one != other) {
                    one.mMembership.recordContact(other.mMember);
                }
            }
        }
    }

    private Router router(Incarnation incarnation) {
        return mRouters.stream()
                .filter(router -> router.mMember.incarnation().equals(incarnation))
                .findFirst()
                .orElse(null);
    }

    private void deliver(int index) {
        Message message = mInFlight.remove(index);
        Router to = router(message.to());
        if (to != null) {
            to.receive(message.message(), message.from());
        }
    }

    private int held() {
        return mRouters.stream()
                .mapToInt(router -> router.mPermits.heldPermits(new UpstreamId("decode-1")))
                .sum();
    }

    private void start() {
        mRouters.clear();
        mInFlight.clear();
        for (int number = 1; number <= ROUTERS; number++) {
            mRouters.add(new Router(number));
        }
        exchangeContacts();
    }

    @Test
    public void permitsNeverExceedSlotsAndNoneIsLost() {
        long seed = System.nanoTime();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        start();
        for (int step = 0; step < 200_000; step++) {
            mNow.addAndGet(random.nextInt(4) * MILLI / 2);
            if (step % 500 == 0) {
                exchangeContacts();
            }
            Router router = mRouters.get(random.nextInt(ROUTERS));
            router.mControl.run();
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    if (router.mPermits.isAvailable(router.engine())) {
                        router.mPermits.acquire(router.engine());
                        router.mUsed++;
                    } else {
                        router.mPermits.requestPermits(
                                List.of(router.engine()), 1 + random.nextInt(4));
                    }
                }
                case 2 -> {
                    if (router.mUsed > 0) {
                        router.mPermits.release(router.engine());
                        router.mUsed--;
                    }
                }
                case 3 -> {
                    for (int message = random.nextInt(8); message > 0; message--) {
                        if (!mInFlight.isEmpty()) {
                            deliver(0);
                        }
                    }
                }
                default -> {
                    mRouters.forEach(one -> one.mControl.runPeriodicTasks());
                }
            }
            assertTrue(held() <= SLOTS, "seed " + seed + " step " + step + ": " + held());
        }
        assertNoPermitIsLost(mRouters.get(random.nextInt(ROUTERS)), seed);
    }

    /** Releases everything and lets one router acquire all permits. */
    private void assertNoPermitIsLost(Router last, long seed) {
        for (Router router : mRouters) {
            for (; router.mUsed > 0; router.mUsed--) {
                router.mPermits.release(router.engine());
            }
        }
        for (int round = 0; round < 3000 && last.mUsed < SLOTS; round++) {
            mNow.addAndGet(MILLI);
            exchangeContacts();
            while (last.mPermits.isAvailable(last.engine())) {
                last.mPermits.acquire(last.engine());
                last.mUsed++;
            }
            last.mPermits.requestPermits(List.of(last.engine()), SLOTS);
            mRouters.forEach(one -> one.mControl.runPeriodicTasks());
            while (!mInFlight.isEmpty()) {
                deliver(0);
            }
            assertTrue(held() <= SLOTS, "seed " + seed + " round " + round + ": " + held());
        }
        assertEquals(last.mUsed, SLOTS, "seed " + seed + ": a permit was lost");
    }

    @Test
    public void newCoordinatorGrantsNothingThatOthersStillHold() {
        start();
        for (int round = 0; round < 2000; round++) {
            mNow.addAndGet(MILLI);
            for (Router router : mRouters) {
                while (router.mPermits.isAvailable(router.engine())) {
                    router.mPermits.acquire(router.engine());
                }
                router.mPermits.requestPermits(List.of(router.engine()), 10);
            }
            mRouters.forEach(one -> one.mControl.run());
            while (!mInFlight.isEmpty()) {
                deliver(0);
            }
            if (round % 400 == 399) {
                exchangeContacts();
            }
            mRouters.forEach(one -> one.mControl.runPeriodicTasks());
        }
        assertEquals(held(), SLOTS);
        Router coordinator =
                router(
                        org.troutpier.daemon.peer.CoordinatorSelector.select(
                                "decode-1", mRouters.get(0).mMembership.serving()));
        int lost = coordinator.mPermits.heldPermits(new UpstreamId("decode-1"));
        mRouters.remove(coordinator);
        for (int round = 0; round < 4000; round++) {
            mNow.addAndGet(MILLI);
            if (round % 400 == 0) {
                exchangeContacts();
            }
            for (Router router : mRouters) {
                router.mPermits.requestPermits(List.of(router.engine()), 10);
            }
            mRouters.forEach(one -> one.mControl.run());
            while (!mInFlight.isEmpty()) {
                deliver(0);
            }
            mRouters.forEach(one -> one.mControl.runPeriodicTasks());
            assertTrue(held() <= SLOTS, "round " + round + ": " + held());
        }
        assertTrue(held() > SLOTS - lost, "the lost permits are granted again");
    }
}
