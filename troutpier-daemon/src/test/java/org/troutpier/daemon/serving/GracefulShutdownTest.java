package org.troutpier.daemon.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.event.EventRing;
import org.troutpier.common.event.HybridClock;
import org.troutpier.common.http.HttpExchange;
import org.troutpier.common.http.HttpResponses;
import org.troutpier.common.http.HttpServer;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.http.ServerRefusals;
import org.troutpier.common.id.HallId;
import org.troutpier.common.id.Incarnation;
import org.troutpier.common.settings.Address;
import org.troutpier.daemon.node.Node;
import org.troutpier.daemon.node.Readiness;
import org.troutpier.daemon.peer.ForwardingServer;

/** Tests what a planned stop waits for, and what it reports as cut off. */
public final class GracefulShutdownTest {

    private static final int GRACE_MILLIS = 4000;

    /** More than the socket buffers of both sides hold. */
    private static final String LARGE_TEXT = "x".repeat(12_000_000);

    private NioEventLoopGroup mLoops;

    private HttpServer mServer;

    private CompletableFuture<HttpExchange> mExchange;

    @BeforeMethod
    void start() {
        mExchange = new CompletableFuture<>();
        mLoops = new NioEventLoopGroup(1);
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mServer.close();
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private GracefulShutdown shutdown(int graceMillis) {
        EventRing events = new EventRing("one~1", 16, new HybridClock());
        Node node =
                new Node(
                        new Incarnation("one~1"),
                        new HallId("lautoka"),
                        mLoops,
                        null,
                        null,
                        new MetricRegistry(),
                        events,
                        System::nanoTime);
        return new GracefulShutdown(
                new Readiness(events),
                new StopDeadline(new TrafficLoop.ForNetty(mLoops.next())),
                mServer,
                new ForwardingServer(node, upstream -> Optional.empty()),
                graceMillis);
    }

    private Socket request() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(8192);
        caller.setSoTimeout(10_000);
        caller.connect(mServer.address().socket());
        caller.getOutputStream()
                .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private void serve() {
        mServer =
                new HttpServer(
                        new Address("127.0.0.1", 0),
                        mLoops,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        exchange -> {
                            exchange.answer(HttpResponses.json(200, Map.of("text", LARGE_TEXT)));
                            mExchange.complete(exchange);
                        });
    }

    @Test
    public void aReaderThatTakesNothingIsCutOffAtTheEndOfTheGracePeriodAndCounted()
            throws IOException {
        serve();
        try (Socket caller = request()) {
            mExchange.orTimeout(10, TimeUnit.SECONDS).join();
            long start = System.nanoTime();
            GracefulShutdown.CutOff cutOff = shutdown(GRACE_MILLIS).run();
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertEquals(cutOff, new GracefulShutdown.CutOff(1, 1, 0));
            assertTrue(tookMillis < GRACE_MILLIS, "took " + tookMillis);
            assertTrue(caller.isConnected());
        }
    }

    @Test
    public void aSlowReaderGetsItsWholeAnswerWithinTheGracePeriod() throws Exception {
        serve();
        try (Socket caller = request()) {
            mExchange.orTimeout(10, TimeUnit.SECONDS).join();
            CompletableFuture<GracefulShutdown.CutOff> cutOff =
                    CompletableFuture.supplyAsync(shutdown(2 * GRACE_MILLIS)::run);
            byte[] step = new byte[LARGE_TEXT.length() / 40];
            long read = 0;
            for (int last = step.length; last == step.length; read += last) {
                Thread.sleep(100);
                last = caller.getInputStream().readNBytes(step, 0, step.length);
            }
            assertTrue(read > LARGE_TEXT.length(), "cut after " + read);
            assertTrue(cutOff.orTimeout(10, TimeUnit.SECONDS).join().isEmpty());
        }
    }
}
