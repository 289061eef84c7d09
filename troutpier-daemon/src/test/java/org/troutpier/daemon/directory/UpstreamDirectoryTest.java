package org.troutpier.daemon.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.ManualTime;

/** Which upstreams may get work. */
public final class UpstreamDirectoryTest {

    private ManualTime mTime;
    private UpstreamDirectory mDirectory;

    private static UpstreamEntry entry(String id, boolean draining) {
        return new UpstreamEntry(
                UpstreamIncarnation.of(id),
                "web",
                new Address("127.0.0.1", 1),
                new HallId("hall"),
                4,
                UpstreamEntry.Role.PLAIN,
                draining);
    }

    private int usable() {
        return mDirectory.usable("web").size();
    }

    @BeforeMethod
    void start() {
        mTime = new ManualTime();
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
    }

    @Test
    public void whatDrainsOrIsGoneGetsNoWork() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false), entry("c", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", true)));
        mDirectory.update(new UpstreamId("b"), Optional.empty());
        assertEquals(mDirectory.usable("web"), List.of(entry("c", false)));
    }

    private boolean leaves(String start) {
        return mDirectory.markLeaving(UpstreamIncarnation.of(start));
    }

    @Test
    public void whatSaysThatItLeavesGetsNoWorkWhateverItsEntrySays() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        assertTrue(leaves("a"));
        assertFalse(leaves("a"), "it is known");
        assertEquals(mDirectory.usable("web"), List.of(entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 1);
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        assertEquals(usable(), 1, "its entry went and came back");
    }

    @Test
    public void whatLeavesBeforeItIsListedGetsNoWork() {
        assertTrue(leaves("a"));
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertEquals(usable(), 0);
    }

    @Test
    public void theNextStartOfWhatHasLeftGetsWork() {
        mDirectory.replaceAll(List.of(entry("a~1", false)));
        leaves("a~1");
        assertEquals(usable(), 0);
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a~2", false)));
        assertEquals(usable(), 1);
        assertTrue(leaves("a~2"));
        assertEquals(usable(), 0);
    }

    @Test
    public void anEarlierStartThatSaysThatItLeavesTakesNothingFromTheNext() {
        mDirectory.replaceAll(List.of(entry("a~2", false)));
        leaves("a~1");
        assertEquals(usable(), 1);
    }

    @Test
    public void whatDrainedAndWentGetsNoWorkThoughACopyListsItAsReady() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", true)));
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.onRestored();
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(mDirectory.usable("web"), List.of(entry("b", false)));
    }

    @Test
    public void whatWentWithoutAWordGetsNoWorkByACopyUntilItsEntryChanges() {
        mTime.pass(10_000);
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 1);
        mDirectory.onRestored();
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        assertEquals(usable(), 1);
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 2, "it runs");
    }

    /** The list is read without a break from now on. */
    private void readFromNowOn() {
        mDirectory.onConfirmed(true, mTime.millis());
    }

    /** Nobody reads for a while, then the reading goes on. */
    private void unreadFor(long millis) {
        mDirectory.onStoreUnavailable();
        mTime.pass(millis);
        readFromNowOn();
    }

    @Test
    public void whatVanishedWhileTheStoreWasAwayIsBelievedForTheGrace() {
        readFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        unreadFor(5000);
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertEquals(usable(), 2);
        mTime.pass(UpstreamDirectory.GRACE_MILLIS - 1);
        assertEquals(usable(), 2);
        assertEquals(mDirectory.missingCount(), 1);
        mTime.pass(1);
        assertEquals(usable(), 1);
        assertEquals(mDirectory.missingCount(), 0);
    }

    /** Waiting for the next page with news, the grace ended up to 1.2 s late. */
    @Test
    public void theGraceEndsByTheClockThoughNothingIsRead() {
        readFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        unreadFor(5000);
        mDirectory.replaceAll(List.of());
        mTime.pass(UpstreamDirectory.GRACE_MILLIS);
        assertEquals(usable(), 0);
    }

    @Test
    public void whatVanishedWhileAnotherRouterReadIsGoneAtOnce() {
        readFromNowOn();
        long since = mTime.millis();
        mDirectory.replaceAll(List.of(entry("a", false)));
        mDirectory.onStoreUnavailable();
        mTime.pass(5000);
        mDirectory.onConfirmed(false, since);
        mDirectory.replaceAll(List.of());
        assertEquals(usable(), 0);
    }

    @Test
    public void theGraceIsCutShortByOneThatReadAllTheWhile() {
        readFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        unreadFor(5000);
        mDirectory.replaceAll(List.of());
        mTime.pass(300);
        mDirectory.onConfirmed(false, mTime.millis() - 1800);
        mTime.pass(199);
        assertEquals(usable(), 1);
        mTime.pass(1);
        assertEquals(usable(), 0);
    }

    @Test
    public void whatCouldNotComeBackSinceTheStoreIsAwayAgainIsBelievedOn() {
        readFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        unreadFor(5000);
        mDirectory.replaceAll(List.of());
        mTime.pass(500);
        unreadFor(4000);
        assertEquals(usable(), 1);
        mTime.pass(UpstreamDirectory.GRACE_MILLIS);
        assertEquals(usable(), 0);
    }

    @Test
    public void whatComesBackWithinTheGraceStays() {
        readFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        unreadFor(5000);
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        mTime.pass(10_000);
        assertEquals(usable(), 1);
    }

    @Test
    public void anEntryThatWasGoneIsBackWithTheNextRowThatListsIt() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 1);
    }

    @Test
    public void whatDrainedBeforeTheOutageIsNotBelieved() {
        readFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", true)));
        unreadFor(5000);
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 0);
    }

    @Test
    public void withoutAnOutageAMissingEntryIsGoneAtOnce() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertTrue(mDirectory.isLoaded());
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 0);
    }

    private void tell(String incarnation, boolean draining) {
        UpstreamEntry told = entry(incarnation, draining);
        mDirectory.update(told.id(), Optional.of(told));
    }

    private static UpstreamIncarnation start(String text) {
        return UpstreamIncarnation.of(text);
    }

    @Test
    public void aLaterStartTakesThePlaceOfAnEarlierOne() {
        tell("a~1", false);
        tell("a~2", false);
        assertEquals(mDirectory.usable("web"), List.of(entry("a~2", false)));
        assertTrue(mDirectory.hasRestarted(start("a~1")));
        assertFalse(mDirectory.hasRestarted(start("a~2")));
    }

    @Test
    public void whatComesLateOfAnEarlierStartIsDropped() {
        tell("a~2", false);
        tell("a~1", true);
        assertEquals(mDirectory.usable("web"), List.of(entry("a~2", false)));
    }

    @Test
    public void aStartThatIsNotToldIsNoNewsOfARestart() {
        tell("a~2", false);
        tell("a", false);
        assertEquals(mDirectory.usable("web"), List.of(entry("a~2", false)));
        assertFalse(mDirectory.hasRestarted(start("a~2")));
    }

    @Test
    public void whatLeavesIsReadyAgainOnlyByItsLaterStart() {
        tell("a~1", true);
        tell("a~1", false);
        tell("a", false);
        assertEquals(usable(), 0);
        tell("a~2", false);
        assertEquals(usable(), 1);
    }

    @Test
    public void theStartsThatAreListedAreTold() {
        Set<UpstreamIncarnation> told = new HashSet<>();
        mDirectory.setListener(
                listed -> {
                    told.clear();
                    told.addAll(listed);
                });
        tell("a~1", false);
        tell("b", false);
        tell("a~2", false);
        assertEquals(told, Set.of(start("a~2"), start("b")));
    }
}
