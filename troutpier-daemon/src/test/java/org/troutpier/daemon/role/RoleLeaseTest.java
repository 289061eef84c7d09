package org.troutpier.daemon.role;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.time.ElapsedClock;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** Tests the lease of the router that orders role changes. */
public final class RoleLeaseTest {

    private static final long TERM = 3000;
    private static final long TICK = 500;

    private ManualClock mTime;
    private VersionedRows mRows;

    /** A router that competes for the lease. */
    private final class Contender {
        final ManualClock.PausableControlExecutor mControl = mTime.control();
        final FakeRowStore mStore = new FakeRowStore(mRows);
        final RoleLease mLease;
        boolean mOtherHolds;
        boolean mEligible = true;
        boolean mAbleToOrder = true;
        long mSuspendedMillis;

        Contender(String name) {
            LongSupplier clock = new ElapsedClock(this::monotonicNanos, mTime::millis);
            Node node = TestNode.of(name, mControl, clock);
            mLease = new RoleLease(node, mStore, TERM);
            mControl.scheduleWithFixedDelay(
                    () -> mLease.tick(mOtherHolds, mEligible, mAbleToOrder), TICK);
        }

        /** The monotonic clock of the system, which stops while the machine is suspended. */
        private long monotonicNanos() {
            return mTime.nanos() - TimeUnit.MILLISECONDS.toNanos(mSuspendedMillis);
        }

        /** Suspends the machine while time passes for the others. */
        void suspend(long millis) {
            mControl.pause(true);
            mTime.advance(millis);
            mSuspendedMillis += millis;
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mRows = new VersionedRows();
    }

    @Test
    public void aHolderThatReachesNoEngineKeepsOthersFromOrdering() {
        Contender first = new Contender("a");
        mTime.advance(2 * TERM);
        Contender second = new Contender("b");
        mTime.advance(TERM);
        assertTrue(first.mLease.mayOrder());
        first.mAbleToOrder = false;
        mTime.advance(4 * TERM);
        assertFalse(first.mLease.isHeld());
        assertTrue(second.mLease.mayOrder());
    }

    @Test
    public void aRouterWaitsEvenIfARestoredRowIsItsOwn() {
        Contender first = new Contender("a");
        mTime.advance(3 * TERM);
        VersionedRows.Copy copy = mRows.copy();
        first.mControl.pause(true);
        Contender second = new Contender("b");
        mTime.advance(4 * TERM);
        assertTrue(second.mLease.mayOrder());
        long token = second.mLease.grant().fencingToken();
        mRows.restore(copy);
        Contender again = new Contender("a");
        mTime.advance(TERM);
        assertFalse(again.mLease.mayOrder(), "another has held it since the copy was made");
        mTime.advance(3 * TERM);
        assertTrue(again.mLease.mayOrder());
        assertFalse(second.mLease.isHeld());
        assertTrue(again.mLease.grant().fencingToken() > token, "tokens rise over eras");
    }

    @Test
    public void twoRoutersNeverOrderAtOnceAcrossStoreRestores() {
        Contender first = new Contender("a");
        mTime.advance(2 * TERM);
        VersionedRows.Copy copy = mRows.copy();
        Contender second = new Contender("b");
        for (int round = 0; round < 4; round++) {
            mTime.advance(TERM / 2);
            mRows.restore(copy);
            for (int tick = 0; tick < 3 * TERM / TICK; tick++) {
                mTime.advance(TICK);
                boolean both = first.mLease.mayOrder() && second.mLease.mayOrder();
                assertFalse(both, "round " + round + " tick " + tick);
            }
        }
        mTime.advance(3 * TERM);
        assertTrue(first.mLease.mayOrder() != second.mLease.mayOrder());
    }

    @Test
    public void theFirstHolderWaitsATermBeforeItOrders() {
        Contender only = new Contender("a");
        mTime.advance(2 * TICK);
        assertTrue(only.mLease.isHeld());
        assertFalse(only.mLease.mayOrder());
        mTime.advance(TERM);
        assertTrue(only.mLease.mayOrder());
        mTime.advance(10 * TERM);
        assertTrue(only.mLease.mayOrder());
    }

    /**
     * Guards against using only the monotonic clock of the system, with which a suspended holder
     * continues to believe that it holds the lease for the rest of its term.
     */
    @Test
    public void aHolderWhoseMachineWasSuspendedKnowsThatItsLeaseExpired() {
        Contender first = new Contender("a");
        mTime.advance(3 * TERM);
        assertTrue(first.mLease.mayOrder());
        Contender second = new Contender("b");
        first.suspend(5 * TERM);
        assertTrue(second.mLease.mayOrder());
        assertFalse(first.mLease.mayOrder());
        first.mControl.pause(false);
        mTime.advance(2 * TERM);
        assertFalse(first.mLease.isHeld());
        assertTrue(second.mLease.mayOrder());
    }

    /** Guards against every starting router trying to acquire the lease. */
    @Test
    public void anIneligibleRouterDoesNotWriteTheRow() {
        Contender only = new Contender("a");
        only.mEligible = false;
        mTime.advance(10 * TERM);
        assertFalse(only.mLease.isHeld());
        assertEquals(mRows.version(), 0);
    }

    @Test
    public void anIneligibleHolderKeepsTheLease() {
        Contender first = new Contender("a");
        mTime.advance(2 * TERM);
        first.mEligible = false;
        Contender second = new Contender("b");
        mTime.advance(10 * TERM);
        assertTrue(first.mLease.mayOrder());
        assertFalse(second.mLease.isHeld());
    }

    @Test
    public void aHolderThatCannotRenewStopsWithinATerm() {
        Contender only = new Contender("a");
        mTime.advance(2 * TERM);
        long token = only.mLease.grant().fencingToken();
        only.mStore.mAway = true;
        mTime.advance(TERM);
        assertFalse(only.mLease.isHeld());
        only.mStore.mAway = false;
        mTime.advance(2 * TERM);
        assertTrue(only.mLease.mayOrder());
        assertTrue(only.mLease.grant().fencingToken() > token);
    }

    @Test
    public void anotherRouterTakesOverFromAPausedHolder() {
        Contender first = new Contender("a");
        mTime.advance(2 * TERM);
        assertTrue(first.mLease.mayOrder());
        Contender second = new Contender("b");
        mTime.advance(2 * TERM);
        assertFalse(second.mLease.isHeld());
        first.mControl.pause(true);
        mTime.advance(5 * TERM);
        assertTrue(second.mLease.mayOrder());
        assertFalse(first.mLease.mayOrder());
        first.mControl.pause(false);
        mTime.advance(5 * TERM);
        assertFalse(first.mLease.isHeld());
        assertTrue(second.mLease.mayOrder());
    }

    @Test
    public void anUnacknowledgedRenewalDoesNotExtendTheLease() {
        Contender only = new Contender("a");
        mTime.advance(2 * TERM);
        only.mStore.mCarrier =
                (work, answer) -> {
                    work.run();
                };
        mTime.advance(TERM);
        assertFalse(only.mLease.isHeld());
    }

    @Test
    public void underRandomFaultsNoTwoOrderWithinATerm() {
        long seed = System.nanoTime();
        System.out.println("RoleLeaseTest seed " + seed);
        Random random = new Random(seed);
        List<Contender> all = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            Contender contender = new Contender(name);
            contender.mStore.mCarrier = (work, answer) -> carry(random, contender, work, answer);
            all.add(contender);
        }
        Contender last = null;
        long lastAt = 0;
        long lastToken = 0;
        int turns = 0;
        for (int step = 0; step < 40_000; step++) {
            if (random.nextInt(60) == 0) {
                Contender contender = all.get(random.nextInt(all.size()));
                contender.mControl.pause(random.nextInt(3) == 0);
            }
            if (random.nextInt(60) == 0) {
                Contender contender = all.get(random.nextInt(all.size()));
                contender.mStore.mAway = random.nextInt(3) == 0;
            }
            mTime.advance(50);
            for (Contender contender : all) {
                if (!contender.mLease.mayOrder()) {
                    continue;
                }
                long token = contender.mLease.grant().fencingToken();
                assertTrue(token >= lastToken, "a lower token, seed " + seed);
                if (last != contender) {
                    boolean apart = last == null || mTime.millis() - lastAt >= TERM;
                    assertTrue(apart, "two ordered within a term, seed " + seed);
                    turns++;
                }
                last = contender;
                lastAt = mTime.millis();
                lastToken = token;
            }
        }
        assertTrue(turns > 3, "turns " + turns + ", seed " + seed);
        assertEquals(mRows.read("troutpier_leases", "", "", 10).rows().size(), 1);
    }

    private void carry(Random random, Contender contender, Runnable work, Runnable answer) {
        int delay = random.nextInt(40);
        switch (random.nextInt(12)) {
            case 0 -> contender.mControl.schedule(answer, 1000);
            case 1 -> {
                work.run();
                contender.mControl.schedule(() -> {}, delay);
                mTime.loop().schedule(answer, 1000);
            }
            case 2 -> {
                mTime.loop().schedule(work, 1000 + random.nextInt(6000));
                mTime.loop().schedule(answer, 1000);
            }
            default -> {
                work.run();
                mTime.loop().schedule(answer, delay);
            }
        }
    }

    @Test
    public void anUnreadableRowIsWaitedOutAndReplaced() {
        mRows.put(new Key("troutpier_leases", "", "engine-roles"), "no JSON");
        Contender one = new Contender("one");
        mTime.advance(TERM / 2);
        assertFalse(one.mLease.isHeld());
        mTime.advance(3 * TERM);
        assertTrue(one.mLease.mayOrder());
    }
}
