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
import org.troutpier.daemon.node.ManualTime;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.TestNode;
import org.troutpier.daemon.rows.FakeRowStore;
import org.troutpier.standins.platform.VersionedRows;
import org.troutpier.standins.platform.VersionedRows.Key;

/** The lease of the router that orders engines. */
public final class RoleLeaseTest {

    private static final long TERM = 3000;
    private static final long TICK = 500;

    private ManualTime mTime;
    private VersionedRows mRows;

    /** One router's view of the lease. */
    private final class Contender {
        final ManualTime.PausableControl mControl = mTime.control();
        final FakeRowStore mStore = new FakeRowStore(mRows);
        final RoleLease mLease;
        boolean mOtherHolds;
        boolean mContends = true;
        long mSuspendedMillis;

        Contender(String name) {
            LongSupplier clock = new ElapsedClock(this::monotonicNanos, mTime::millis);
            Node node = TestNode.of(name, mControl, clock);
            mLease = new RoleLease(node, mStore, TERM);
            mControl.every(() -> mLease.tick(mOtherHolds, mContends), TICK);
        }

        /** The system's monotonic clock, which stands still while the machine is suspended. */
        private long monotonicNanos() {
            return mTime.nanos() - TimeUnit.MILLISECONDS.toNanos(mSuspendedMillis);
        }

        /** Has the machine suspended while time passes for the others. */
        void suspend(long millis) {
            mControl.pause(true);
            mTime.pass(millis);
            mSuspendedMillis += millis;
        }
    }

    @BeforeMethod
    void start() {
        mTime = new ManualTime();
        mRows = new VersionedRows();
    }

    @Test
    public void aRouterThatFindsItsOwnRowInACopyWaitsLikeAnyOther() {
        Contender first = new Contender("a");
        mTime.pass(3 * TERM);
        VersionedRows.Copy copy = mRows.copy();
        first.mControl.pause(true);
        Contender second = new Contender("b");
        mTime.pass(4 * TERM);
        assertTrue(second.mLease.mayOrder());
        long token = second.mLease.right().fencingToken();
        mRows.restore(copy);
        Contender again = new Contender("a");
        mTime.pass(TERM);
        assertFalse(again.mLease.mayOrder(), "another has held it since the copy was made");
        mTime.pass(3 * TERM);
        assertTrue(again.mLease.mayOrder());
        assertFalse(second.mLease.held());
        assertTrue(again.mLease.right().fencingToken() > token, "tokens rise over eras");
    }

    @Test
    public void twoRoutersNeverOrderAtTheSameTimeOverReturnsOfTheStore() {
        Contender first = new Contender("a");
        mTime.pass(2 * TERM);
        VersionedRows.Copy copy = mRows.copy();
        Contender second = new Contender("b");
        for (int round = 0; round < 4; round++) {
            mTime.pass(TERM / 2);
            mRows.restore(copy);
            for (int tick = 0; tick < 3 * TERM / TICK; tick++) {
                mTime.pass(TICK);
                boolean both = first.mLease.mayOrder() && second.mLease.mayOrder();
                assertFalse(both, "round " + round + " tick " + tick);
            }
        }
        mTime.pass(3 * TERM);
        assertTrue(first.mLease.mayOrder() != second.mLease.mayOrder());
    }

    @Test
    public void theFirstRouterGetsItAndWaitsATermBeforeItOrders() {
        Contender only = new Contender("a");
        mTime.pass(2 * TICK);
        assertTrue(only.mLease.held());
        assertFalse(only.mLease.mayOrder());
        mTime.pass(TERM);
        assertTrue(only.mLease.mayOrder());
        mTime.pass(10 * TERM);
        assertTrue(only.mLease.mayOrder());
    }

    /** With the system's monotonic clock alone it believed so for the rest of its term. */
    @Test
    public void aHolderWhoseMachineWasSuspendedDoesNotBelieveThatItStillHoldsIt() {
        Contender first = new Contender("a");
        mTime.pass(3 * TERM);
        assertTrue(first.mLease.mayOrder());
        Contender second = new Contender("b");
        first.suspend(5 * TERM);
        assertTrue(second.mLease.mayOrder());
        assertFalse(first.mLease.mayOrder());
        first.mControl.pause(false);
        mTime.pass(2 * TERM);
        assertFalse(first.mLease.held());
        assertTrue(second.mLease.mayOrder());
    }

    /** Before, each router that started tried to get the lease. */
    @Test
    public void aRouterThatDoesNotContendLeavesTheRowAlone() {
        Contender only = new Contender("a");
        only.mContends = false;
        mTime.pass(10 * TERM);
        assertFalse(only.mLease.held());
        assertEquals(mRows.version(), 0);
    }

    @Test
    public void aHolderThatNoLongerContendsKeepsIt() {
        Contender first = new Contender("a");
        mTime.pass(2 * TERM);
        first.mContends = false;
        Contender second = new Contender("b");
        mTime.pass(10 * TERM);
        assertTrue(first.mLease.mayOrder());
        assertFalse(second.mLease.held());
    }

    @Test
    public void aHolderThatCannotRenewStopsWithinATerm() {
        Contender only = new Contender("a");
        mTime.pass(2 * TERM);
        long token = only.mLease.right().fencingToken();
        only.mStore.mAway = true;
        mTime.pass(TERM);
        assertFalse(only.mLease.held());
        only.mStore.mAway = false;
        mTime.pass(2 * TERM);
        assertTrue(only.mLease.mayOrder());
        assertTrue(only.mLease.right().fencingToken() > token);
    }

    @Test
    public void anotherTakesItAfterAHolderThatStandsStill() {
        Contender first = new Contender("a");
        mTime.pass(2 * TERM);
        assertTrue(first.mLease.mayOrder());
        Contender second = new Contender("b");
        mTime.pass(2 * TERM);
        assertFalse(second.mLease.held());
        first.mControl.pause(true);
        mTime.pass(5 * TERM);
        assertTrue(second.mLease.mayOrder());
        assertFalse(first.mLease.mayOrder());
        first.mControl.pause(false);
        mTime.pass(5 * TERM);
        assertFalse(first.mLease.held());
        assertTrue(second.mLease.mayOrder());
    }

    @Test
    public void aRenewalThatIsDoneButNotAnsweredDoesNotExtendTheLease() {
        Contender only = new Contender("a");
        mTime.pass(2 * TERM);
        only.mStore.mCarrier =
                (work, answer) -> {
                    work.run();
                };
        mTime.pass(TERM);
        assertFalse(only.mLease.held());
    }

    @Test
    public void atRandomNoTwoEverOrderWithinATermOfEachOther() {
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
            mTime.pass(50);
            for (Contender contender : all) {
                if (!contender.mLease.mayOrder()) {
                    continue;
                }
                long token = contender.mLease.right().fencingToken();
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
            case 0 -> contender.mControl.later(answer, 1000);
            case 1 -> {
                work.run();
                contender.mControl.later(() -> {}, delay);
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
    public void aRowOfAnotherWriterIsWaitedOutAndReplaced() {
        mRows.put(new Key("troutpier_leases", "", "engine-roles"), "no JSON");
        Contender one = new Contender("one");
        mTime.pass(TERM / 2);
        assertFalse(one.mLease.held());
        mTime.pass(3 * TERM);
        assertTrue(one.mLease.mayOrder());
    }
}
