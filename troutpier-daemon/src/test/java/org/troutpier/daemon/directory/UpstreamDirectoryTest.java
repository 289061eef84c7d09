package org.troutpier.daemon.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.UpstreamId;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.ManualTime;

/** Which upstreams may get work. */
public final class UpstreamDirectoryTest {

    private ManualTime mTime;
    private UpstreamDirectory mDirectory;

    private static UpstreamEntry entry(String id, boolean draining) {
        return new UpstreamEntry(
                new UpstreamId(id),
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
        mDirectory = new UpstreamDirectory(mTime::nanos);
    }

    @Test
    public void whatDrainsOrIsGoneGetsNoWork() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false), entry("c", false)));
        mDirectory.change(new UpstreamId("a"), Optional.of(entry("a", true)));
        mDirectory.change(new UpstreamId("b"), Optional.empty());
        assertEquals(mDirectory.usable("web"), List.of(entry("c", false)));
    }

    @Test
    public void whatVanishedWhileTheStoreWasAwayIsBelievedForTheGrace() {
        mDirectory.replaceAll(List.of(entry("a", false), entry("b", false)));
        mDirectory.storeLost();
        mTime.pass(5000);
        mDirectory.storeHeard();
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertEquals(usable(), 2);
        mTime.pass(UpstreamDirectory.GRACE_MILLIS - 1);
        mDirectory.storeHeard();
        assertEquals(usable(), 2);
        mTime.pass(1);
        mDirectory.storeHeard();
        assertEquals(usable(), 1);
    }

    @Test
    public void whatComesBackWithinTheGraceStays() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        mDirectory.storeLost();
        mDirectory.storeHeard();
        mDirectory.change(new UpstreamId("a"), Optional.empty());
        mDirectory.change(new UpstreamId("a"), Optional.of(entry("a", false)));
        mTime.pass(10_000);
        mDirectory.storeHeard();
        assertEquals(usable(), 1);
    }

    @Test
    public void anEntryThatWasGoneIsBackWithTheNextRowThatListsIt() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        mDirectory.change(new UpstreamId("a"), Optional.empty());
        mDirectory.change(new UpstreamId("a"), Optional.of(entry("a", false)));
        assertEquals(usable(), 1);
    }

    @Test
    public void whatDrainedBeforeTheOutageIsNotBelieved() {
        mDirectory.replaceAll(List.of(entry("a", true)));
        mDirectory.storeLost();
        mDirectory.storeHeard();
        mDirectory.change(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 0);
    }

    @Test
    public void withoutAnOutageAMissingEntryIsGoneAtOnce() {
        mDirectory.replaceAll(List.of(entry("a", false)));
        assertTrue(mDirectory.loaded());
        mDirectory.change(new UpstreamId("a"), Optional.empty());
        assertEquals(usable(), 0);
    }
}
