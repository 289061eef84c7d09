package org.troutpier.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.daemon.instancelist.InstanceList.Instance;
import org.troutpier.daemon.peer.Membership.Member;

public class MembershipTest {

    private static final long SECOND = 1_000_000_000L;

    private long mNow;
    private Membership mMembership;

    @BeforeMethod
    public void start() {
        mNow = SECOND;
        mMembership = new Membership(member("router-1~a"), () -> mNow);
    }

    private static Member member(String incarnation) {
        return new Member(new Incarnation(incarnation), new HallId("nadi"), "127.0.0.1:1", false);
    }

    private static Instance listed(String incarnation, String state) {
        String id = incarnation.split("~")[0];
        return new Instance(id, incarnation, "127.0.0.1:1", "nadi", state);
    }

    private boolean gone(String incarnation) {
        return mMembership.isGone(new Incarnation(incarnation));
    }

    @Test
    public void nobodyIsGoneWithoutAList() {
        assertFalse(gone("router-2~b"));
        mNow += 100 * SECOND;
        assertFalse(gone("router-2~b"));
    }

    @Test
    public void aRouterIsGoneOnceItIsMissingAndSilentForTheGracePeriod() {
        mMembership.updateListed(List.of(listed("router-2~b", "live")));
        mMembership.recordContact(member("router-2~b"));
        assertFalse(gone("router-2~b"));
        mNow += 10 * SECOND;
        assertFalse(gone("router-2~b"), "the list still shows it");
        mMembership.updateListed(List.of(listed("router-2~b", "gone")));
        assertFalse(gone("router-2~b"), "the grace period has begun");
        mNow += 3 * SECOND;
        assertTrue(gone("router-2~b"));
    }

    @Test
    public void aRouterThatIsHeardIsNotGoneWhateverTheListSays() {
        mMembership.updateListed(List.of());
        for (int beat = 0; beat < 20; beat++) {
            mMembership.recordContact(member("router-2~b"));
            mNow += SECOND;
            assertFalse(gone("router-2~b"));
        }
    }

    @Test
    public void anEarlierIncarnationIsGoneOnceALaterOneRuns() {
        mMembership.updateListed(List.of(listed("router-2~c", "live")));
        assertFalse(gone("router-2~b"));
        mNow += 3 * SECOND;
        assertTrue(gone("router-2~b"));
        assertFalse(gone("router-2~c"));
    }

    @Test
    public void theLaterIncarnationOfAnInstanceCounts() {
        mMembership.updateListed(List.of(listed("router-2~b", "live")));
        mMembership.recordContact(member("router-2~c"));
        assertEquals(
                mMembership.live().stream().map(one -> one.incarnation().value()).toList(),
                List.of("router-1~a", "router-2~c"));
    }

    @Test
    public void thisRouterIsAlwaysLiveAndNeverGone() {
        mMembership.updateListed(List.of());
        mNow += 100 * SECOND;
        assertEquals(mMembership.live().size(), 1);
        assertFalse(gone("router-1~a"));
        assertFalse(mMembership.isSelfListed());
        mMembership.updateListed(List.of(listed("router-1~a", "live")));
        assertTrue(mMembership.isSelfListed());
    }

    @Test
    public void onlySubjectsOfAGoneCoordinatorMove() {
        List<Member> three =
                List.of(member("router-1~a"), member("router-2~b"), member("router-3~c"));
        List<Member> two = List.of(member("router-1~a"), member("router-3~c"));
        int moved = 0;
        for (int subject = 0; subject < 300; subject++) {
            Incarnation before = CoordinatorSelector.select("engine-" + subject, three);
            Incarnation after = CoordinatorSelector.select("engine-" + subject, two);
            boolean coordinatorGone = before.value().equals("router-2~b");
            assertTrue(coordinatorGone || before.equals(after));
            moved += coordinatorGone ? 1 : 0;
        }
        assertTrue(moved > 60 && moved < 140, moved + " of 300 moved");
    }
}
