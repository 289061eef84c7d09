package org.troutpier.daemon.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.node.ManualClock;
import org.troutpier.daemon.peer.ForwardOutcome;
import org.troutpier.daemon.peer.ForwardingHandler;
import org.troutpier.daemon.peer.Membership.Member;

/** Tests which path to an upstream is taken. */
public final class UpstreamPathsTest {

    private static final HallId HALL = new HallId("hall-a");
    private static final HallId OTHER_HALL = new HallId("hall-b");
    private static final Exception REFUSED = new ConnectException("refused");
    private static final Exception LOST = new ConnectTimeoutException("no connection");

    private final UpstreamEntry mUpstream =
            new UpstreamEntry(
                    UpstreamIncarnation.of("web-1"),
                    "web",
                    new Address("10.0.0.1", 80),
                    OTHER_HALL,
                    8,
                    UpstreamEntry.Role.PLAIN,
                    false);
    private final InetSocketAddress mAddress = mUpstream.address().socket();
    private final List<Member> mPeers = new ArrayList<>();
    private final List<Consumer<Boolean>> mProbes = new ArrayList<>();
    private ManualClock mTime;
    private UpstreamPaths mPaths;

    @BeforeMethod
    void start() {
        mTime = new ManualClock();
        mPeers.clear();
        mProbes.clear();
        for (String name : List.of("a~1", "b~1", "c~1")) {
            peer(name, HALL);
        }
        mPaths =
                new UpstreamPaths(
                        mTime.loop(), HALL, () -> mPeers, new Random(1), new MetricRegistry());
        mPaths.setProbe((upstream, listener) -> mProbes.add(listener));
        mPaths.register(mUpstream);
    }

    private void peer(String name, HallId hall) {
        mPeers.add(new Member(new Incarnation(name), hall, "10.0.1.1:7000", false));
    }

    /** Asks the next router, and records what it answers. */
    private Member ask(ForwardOutcome outcome) {
        ForwardingHandler.Path path = mPaths.select(mAddress).orElseThrow();
        mPaths.recordForwarded(path, outcome);
        return path.forwarder();
    }

    @Test
    public void aLostPathIsForwardedUntilAProbeSucceeds() {
        assertTrue(mPaths.select(mAddress).isEmpty());
        mPaths.recordDirect(mAddress, LOST);
        ask(ForwardOutcome.OPENED);
        assertEquals(mPaths.forwardedCount(), 1);
        assertFalse(mPaths.isReachable(mUpstream.incarnation()));
        mTime.advance(UpstreamPaths.PROBE_INTERVAL_MILLIS);
        mProbes.get(0).accept(false);
        mTime.advance(UpstreamPaths.PROBE_INTERVAL_MILLIS);
        assertTrue(mPaths.select(mAddress).isPresent());
        mProbes.get(1).accept(true);
        assertTrue(mPaths.select(mAddress).isEmpty());
        assertTrue(mPaths.isReachable(mUpstream.incarnation()));
    }

    @Test
    public void anUpstreamThatNobodyReachesIsTriedThroughAllRoutersWithEachCall() {
        mPaths.recordDirect(mAddress, REFUSED);
        Set<Member> asked = new HashSet<>();
        while (mPaths.hasAlternative(mUpstream)) {
            asked.add(ask(ForwardOutcome.REFUSED));
        }
        assertEquals(asked.size(), UpstreamPaths.MAX_FORWARDERS);
        assertTrue(mPaths.confirmsRefusal(mUpstream));
        mPaths.recordDirect(mAddress, REFUSED);
        assertFalse(mPaths.hasAlternative(mUpstream));
        mTime.advance(2 * UpstreamPaths.RETRY_MILLIS + 1);
        mPaths.recordDirect(mAddress, REFUSED);
        assertTrue(mPaths.hasAlternative(mUpstream));
    }

    @Test
    public void callsWaitForAnUpstreamThatIsSilentOnAllPaths() {
        mPaths.recordDirect(mAddress, LOST);
        while (mPaths.hasAlternative(mUpstream)) {
            ask(ForwardOutcome.UNREACHABLE);
        }
        assertTrue(mPaths.isUnreachable(mAddress));
        mTime.advance(UpstreamPaths.PROBE_INTERVAL_MILLIS);
        mProbes.get(0).accept(true);
        assertFalse(mPaths.isUnreachable(mAddress));
        assertTrue(mPaths.select(mAddress).isEmpty());
    }

    @Test
    public void aRefusedConnectionIsTakenForACrashWhileOthersDoNotReachTheUpstreamEither() {
        mPaths.recordDirect(mAddress, REFUSED);
        assertFalse(mPaths.confirmsRefusal(mUpstream));
        ask(ForwardOutcome.UNREACHABLE);
        while (mPaths.hasAlternative(mUpstream)) {
            ask(ForwardOutcome.REFUSED);
        }
        assertFalse(mPaths.confirmsRefusal(mUpstream));
    }

    @Test
    public void partitionedRoutersAllAskTheSameRouter() {
        peer("far~1", new HallId("hall-c"));
        mPaths.recordDirect(mAddress, LOST);
        Set<Member> asked = new HashSet<>();
        for (int call = 0; call < 100; call++) {
            asked.add(ask(ForwardOutcome.OPENED));
        }
        assertTrue(asked.size() > 1, "asked: " + asked);
        assertTrue(asked.stream().allMatch(peer -> peer.hall().equals(HALL)));
    }
}
