package org.troutpier.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.ControlThread;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.peer.Membership.Member;
import org.troutpier.standins.fault.FaultProxy;
import org.troutpier.standins.fault.LinkFault;

/** Connections between routers. */
public final class PeerMeshTest {

    private static final HallId HALL = new HallId("hall");
    private static final String SECRET = "a secret of this test";

    private NioEventLoopGroup mLoops;
    private Peer mOne;
    private Peer mOther;

    /** A router with its mesh. */
    private final class Peer implements AutoCloseable {
        final Member mSelf;
        final ControlThread mControl = new ControlThread();
        final MetricRegistry mMetrics = new MetricRegistry();
        final List<PeerMessage> mHeard = new CopyOnWriteArrayList<>();
        final PeerMesh mMesh;

        Peer(String incarnation) {
            Address address = new Address("127.0.0.1", freePort());
            mSelf = new Member(new Incarnation(incarnation), HALL, address.toString(), false);
            Node node =
                    new Node(
                            mSelf.incarnation(),
                            HALL,
                            mLoops,
                            mControl,
                            null,
                            mMetrics,
                            new EventRing(incarnation, 16, new HybridClock()),
                            System::nanoTime);
            Membership membership = new Membership(mSelf, System::nanoTime);
            mMesh =
                    new PeerMesh(
                            node,
                            address,
                            new PeerMesh.Peers(membership, List::of),
                            new PeerSecret(SECRET),
                            Optional.empty(),
                            (from, message) -> mHeard.add(message));
        }

        <T> T onControl(Callable<T> work) {
            CompletableFuture<T> result = new CompletableFuture<>();
            mControl.execute(
                    () -> {
                        try {
                            result.complete(work.call());
                        } catch (Exception exception) {
                            result.completeExceptionally(exception);
                        }
                    });
            return result.orTimeout(10, TimeUnit.SECONDS).join();
        }

        @Override
        public void close() {
            mMesh.close();
            mControl.close();
        }
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException exception) {
            throw new IllegalStateException("no port is free", exception);
        }
    }

    private static void await(String what, Callable<Boolean> condition) {
        Awaitility.await(what)
                .atMost(Duration.ofSeconds(10))
                .pollInterval(Duration.ofMillis(5))
                .until(condition);
    }

    @BeforeMethod
    void start() {
        mLoops = new NioEventLoopGroup(1);
        mOne = new Peer("one~1");
        mOther = new Peer("other~2");
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mOne.close();
        mOther.close();
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private boolean connected(Member member) {
        return mOne.onControl(
                () -> {
                    mOne.mMesh.connect(member);
                    return mOne.mMesh.isConnected(member.incarnation());
                });
    }

    @Test
    public void aMessageToSeveralRoutersIsHeard() {
        await("connected", () -> connected(mOther.mSelf));
        mOne.onControl(
                () -> {
                    mOne.mMesh.sendAll(
                            List.of(mOther.mSelf.incarnation(), new Incarnation("nobody~1")),
                            new PeerMessage.Refused(List.of("key")));
                    return true;
                });
        await("heard", () -> mOther.mHeard.contains(new PeerMessage.Refused(List.of("key"))));
        assertEquals(mOne.mMetrics.counter("peer.sent.Refused.messages").getCount(), 1);
        assertTrue(mOne.mMetrics.counter("peer.sent.Refused.bytes").getCount() > "key".length());
    }

    @Test
    public void aConnectionToAnEarlierIncarnationIsReplaced() {
        Member earlier =
                new Member(new Incarnation("other~1"), HALL, mOther.mSelf.address(), false);
        await("connected", () -> connected(earlier));
        assertFalse(mOne.onControl(() -> mOne.mMesh.isConnected(mOther.mSelf.incarnation())));
        await("connected again", () -> connected(mOther.mSelf));
        assertTrue(
                mOne.onControl(
                        () ->
                                mOne.mMesh.send(
                                        mOther.mSelf.incarnation(),
                                        new PeerMessage.Refused(List.of("late")))));
        await("heard", () -> mOther.mHeard.contains(new PeerMessage.Refused(List.of("late"))));
    }

    /** Guards against idle connections that are closed and opened again every two seconds. */
    @Test
    public void aConnectionOnWhichNothingIsSentIsKept() {
        await("connected", () -> connected(mOther.mSelf));
        Awaitility.await("kept")
                .during(Duration.ofMillis(2 * PeerMesh.SILENCE_TIMEOUT_MILLIS))
                .atMost(Duration.ofMillis(3 * PeerMesh.SILENCE_TIMEOUT_MILLIS))
                .until(
                        () ->
                                mOne.onControl(
                                        () -> mOne.mMesh.isConnected(mOther.mSelf.incarnation())));
    }

    @Test
    public void aConnectionThatGoesSilentWithoutAResetIsReopened() {
        Address to = Address.parse(mOther.mSelf.address());
        try (FaultProxy proxy = new FaultProxy(new Address("127.0.0.1", 0), to, mLoops)) {
            Member behind =
                    new Member(mOther.mSelf.incarnation(), HALL, proxy.address().toString(), false);
            await("connected", () -> connected(behind));
            proxy.fault(LinkFault.FORGET, 1, 0).join();
            String late = "sent on a new connection";
            await(
                    "heard again",
                    () -> {
                        mOne.onControl(
                                () -> {
                                    mOne.mMesh.connect(behind);
                                    mOne.mMesh.send(
                                            behind.incarnation(),
                                            new PeerMessage.Refused(List.of(late)));
                                    return true;
                                });
                        return mOther.mHeard.contains(new PeerMessage.Refused(List.of(late)));
                    });
        }
    }
}
