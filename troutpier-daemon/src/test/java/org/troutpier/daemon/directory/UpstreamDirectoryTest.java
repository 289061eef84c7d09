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
import org.troutpier.daemon.node.ManualClock;

/** Which upstreams are usable. */
public final class UpstreamDirectoryTest {

    private ManualClock mTime;
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
        mTime = new ManualClock();
        mDirectory = new UpstreamDirectory(mTime.control(), mTime::millis);
    }

    @Test
    public void drainingAndRemovedUpstreamsAreNotUsable() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false), entry("c", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", true)));
        mDirectory.update(new UpstreamId("b"), Optional.empty());
        assertEquals(mDirectory.usable("web"), List.of(entry("c", false)));
    }

    private boolean announceLeaving(String incarnation) {
        return mDirectory.markLeaving(UpstreamIncarnation.of(incarnation));
    }

    @Test
    public void anUpstreamThatAnnouncedLeavingIsNotUsableWhateverItsEntrySays() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        assertTrue(announceLeaving("a"));
        assertFalse(announceLeaving("a"), "already known");
        assertEquals(mDirectory.usable("web"), List.of(entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 1);
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        assertEquals(usable(), 1, "its entry was removed and listed again");
    }

    @Test
    public void anUpstreamThatAnnouncedLeavingBeforeItIsListedIsNotUsable() {
        assertTrue(announceLeaving("a"));
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertEquals(usable(), 0);
    }

    @Test
    public void theNextIncarnationOfALeavingUpstreamIsUsable() {
        mDirectory.replaceAll(List.of(entry("a~1", false)));
        announceLeaving("a~1");
        assertEquals(usable(), 0);
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a~2", false)));
        assertEquals(usable(), 1);
        assertTrue(announceLeaving("a~2"));
        assertEquals(usable(), 0);
    }

    @Test
    public void leavingOfAnEarlierIncarnationDoesNotAffectTheNext() {
        mDirectory.replaceAll(List.of(entry("a~2", false)));
        announceLeaving("a~1");
        assertEquals(usable(), 1);
    }

    @Test
    public void aDrainedUpstreamIsNotUsableEvenIfARestoredStoreListsItAsReady() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", true)));
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.onRestored();
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(mDirectory.usable("web"), List.of(entry("b", false)));
    }

    @Test
    public void aRemovedUpstreamThatARestoredStoreListsIsNotUsableUntilItsEntryChanges() {
        mTime.advance(10_000);
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 1);
        mDirectory.onRestored();
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        assertEquals(usable(), 1);
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 2, "its entry has changed");
    }

    /** The entries are confirmed without interruption from now on. */
    private void confirmFromNowOn() {
        mDirectory.onConfirmed(true, mTime.millis(), mTime.millis());
    }

    /** No router reads the store for a while, then reading resumes. */
    private void interruptFor(long millis) {
        mDirectory.onStoreUnavailable();
        mTime.advance(millis);
        confirmFromNowOn();
    }

    @Test
    public void anEntryMissingAfterAnOutageStaysUsableForTheGracePeriod() {
        confirmFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        interruptFor(5000);
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertEquals(usable(), 2);
        mTime.advance(UpstreamDirectory.MISSING_GRACE_MILLIS - 1);
        assertEquals(usable(), 2);
        assertEquals(mDirectory.missingCount(), 1);
        mTime.advance(1);
        assertEquals(usable(), 1);
        assertEquals(mDirectory.missingCount(), 0);
    }

    /**
     * Guards against a grace period that ends only with the next page that has changes, which was
     * up to 1.2 s late.
     */
    @Test
    public void theGracePeriodEndsByTheClockEvenIfNothingIsRead() {
        confirmFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        interruptFor(5000);
        mDirectory.replaceAll(List.of());
        mTime.advance(UpstreamDirectory.MISSING_GRACE_MILLIS);
        assertEquals(usable(), 0);
    }

    @Test
    public void anEntryMissingWhileAnotherRouterReadIsRemovedAtOnce() {
        confirmFromNowOn();
        long since = mTime.millis();
        mDirectory.replaceAll(List.of(entry("a", false)));
        mDirectory.onStoreUnavailable();
        mTime.advance(5000);
        mDirectory.onConfirmed(false, mTime.millis(), since);
        mDirectory.replaceAll(List.of());
        assertEquals(usable(), 0);
    }

    @Test
    public void theGracePeriodIsShortenedByARouterThatReadWithoutInterruption() {
        confirmFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        interruptFor(5000);
        mDirectory.replaceAll(List.of());
        mTime.advance(300);
        mDirectory.onConfirmed(false, mTime.millis(), mTime.millis() - 1800);
        mTime.advance(199);
        assertEquals(usable(), 1);
        mTime.advance(1);
        assertEquals(usable(), 0);
    }

    @Test
    public void theGracePeriodStartsAgainAfterASecondOutage() {
        confirmFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        interruptFor(5000);
        mDirectory.replaceAll(List.of());
        mTime.advance(500);
        interruptFor(4000);
        assertEquals(usable(), 1);
        mTime.advance(UpstreamDirectory.MISSING_GRACE_MILLIS);
        assertEquals(usable(), 0);
    }

    @Test
    public void anEntryThatReturnsWithinTheGracePeriodIsKept() {
        confirmFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", false)));
        interruptFor(5000);
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        mTime.advance(10_000);
        assertEquals(usable(), 1);
    }

    @Test
    public void aRemovedEntryIsUsableAgainOnceItIsListed() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        mDirectory.update(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 1);
    }

    @Test
    public void aMissingEntryThatWasDrainingGetsNoGracePeriod() {
        confirmFromNowOn();
        mDirectory.replaceAll(List.of(entry("a", true)));
        interruptFor(5000);
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 0);
    }

    @Test
    public void withoutAnOutageAMissingEntryIsRemovedAtOnce() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertTrue(mDirectory.isLoaded());
        mDirectory.update(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 0);
    }

    private void report(String incarnation, boolean draining) {
        UpstreamEntry reported = entry(incarnation, draining);
        mDirectory.update(reported.id(), Optional.of(reported));
    }

    private static UpstreamIncarnation incarnation(String text) {
        return UpstreamIncarnation.of(text);
    }

    @Test
    public void aLaterIncarnationReplacesAnEarlierOne() {
        report("a~1", false);
        report("a~2", false);
        assertEquals(mDirectory.usable("web"), List.of(entry("a~2", false)));
        assertTrue(mDirectory.hasRestarted(incarnation("a~1")));
        assertFalse(mDirectory.hasRestarted(incarnation("a~2")));
    }

    @Test
    public void aLateReportOfAnEarlierIncarnationIsIgnored() {
        report("a~2", false);
        report("a~1", true);
        assertEquals(mDirectory.usable("web"), List.of(entry("a~2", false)));
    }

    @Test
    public void anUnknownStartTimeDoesNotIndicateARestart() {
        report("a~2", false);
        report("a", false);
        assertEquals(mDirectory.usable("web"), List.of(entry("a~2", false)));
        assertFalse(mDirectory.hasRestarted(incarnation("a~2")));
    }

    @Test
    public void aDrainingUpstreamIsUsableAgainOnlyWithALaterIncarnation() {
        report("a~1", true);
        report("a~1", false);
        report("a", false);
        assertEquals(usable(), 0);
        report("a~2", false);
        assertEquals(usable(), 1);
    }

    @Test
    public void theListenerReceivesTheListedIncarnations() {
        Set<UpstreamIncarnation> reported = new HashSet<>();
        mDirectory.addListener(
                listed -> {
                    reported.clear();
                    reported.addAll(listed);
                });
        report("a~1", false);
        report("b", false);
        report("a~2", false);
        assertEquals(reported, Set.of(incarnation("a~2"), incarnation("b")));
    }
}
