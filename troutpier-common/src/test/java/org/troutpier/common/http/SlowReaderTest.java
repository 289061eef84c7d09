package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.common.settings.Address;

/** Tests answers whose client reads more slowly than the server writes. */
public final class SlowReaderTest {

    /** More than the socket buffers of both sides hold. */
    private static final int ANSWER_BYTES = 8_000_000;

    private static final int IDLE_MILLIS = 300;

    private static final int REQUEST_MILLIS = 500;

    private static final int POLL_MILLIS = 20;

    private static final int WAIT_MILLIS = 10_000;

    private NioEventLoopGroup mLoops;

    private HttpServer mServer;

    private final List<String> mHandled = new CopyOnWriteArrayList<>();

    @BeforeMethod
    void start() {
        mLoops = new NioEventLoopGroup(1);
        mHandled.clear();
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mServer.close();
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void serve(int idleMillis, HttpHandler handler) {
        mServer =
                new HttpServer(
                        new Address("127.0.0.1", 0),
                        mLoops,
                        new ServerLimits(1, 1_000_000, 16_384, REQUEST_MILLIS, idleMillis),
                        ServerRefusals.AsJson.INSTANCE,
                        new RefusingHandler(handler));
    }

    /** Refuses the requests of one path by their head. */
    private final class RefusingHandler implements HttpHandler {

        private final HttpHandler mDelegate;

        RefusingHandler(HttpHandler delegate) {
            mDelegate = delegate;
        }

        @Override
        public void handle(HttpExchange exchange) {
            mHandled.add(exchange.path());
            mDelegate.handle(exchange);
        }

        @Override
        public Optional<TroutpierException> screen(HttpRequest head) {
            return head.uri().equals("/refused")
                    ? Optional.of(new TroutpierException(ResultCode.UNKNOWN_TOKEN, "test"))
                    : Optional.empty();
        }
    }

    private static void answerAtOnce(HttpExchange exchange) {
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.wrappedBuffer(new byte[ANSWER_BYTES]));
        answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, ANSWER_BYTES);
        exchange.answer(answer);
    }

    private static void answerInParts(HttpExchange exchange) {
        exchange.begin(
                200, new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_LENGTH, ANSWER_BYTES));
        exchange.write(new byte[ANSWER_BYTES / 2]);
        exchange.write(new byte[ANSWER_BYTES / 2]);
        exchange.end();
    }

    private static void await(BooleanSupplier condition, String what) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Closes idle connections again and again until none is left, as a planned stop does. */
    private Thread closeIdleUntilNoneIsLeft() {
        Thread closer =
                new Thread(
                        () -> {
                            try {
                                while (mServer.connectionCount() > 0) {
                                    mServer.closeIdle();
                                    Thread.sleep(POLL_MILLIS);
                                }
                            } catch (InterruptedException exception) {
                                Thread.currentThread().interrupt();
                            }
                        });
        closer.setDaemon(true);
        closer.start();
        return closer;
    }

    private void checkThatAStopCutsNothing(HttpHandler handler)
            throws IOException, InterruptedException {
        serve(WAIT_MILLIS, handler);
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.request("/");
            await(() -> mServer.sendingConnections() == 1, "the reader is slower");
            mServer.drain();
            Thread closer = closeIdleUntilNoneIsLeft();
            long read = reader.readToEnd(100_000, 5);
            assertTrue(read > ANSWER_BYTES, "cut after " + read);
            closer.join(WAIT_MILLIS);
            assertEquals(mServer.connectionCount(), 0);
            assertEquals(mServer.activeExchanges(), 0);
        }
    }

    @Test
    public void aStopCutsNoAnswerThatIsStillBeingRead() throws Exception {
        checkThatAStopCutsNothing(SlowReaderTest::answerAtOnce);
    }

    @Test
    public void aStopCutsNoStreamWhoseEndIsStillBeingRead() throws Exception {
        checkThatAStopCutsNothing(SlowReaderTest::answerInParts);
    }

    @Test
    public void theIdleLimitCutsNoAnswerThatIsStillBeingRead() throws Exception {
        serve(IDLE_MILLIS, SlowReaderTest::answerAtOnce);
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.request("/");
            long read = reader.readToEnd(40_000, 10);
            assertTrue(read > ANSWER_BYTES, "cut after " + read);
            await(() -> mServer.connectionCount() == 0, "the idle connection is closed");
        }
    }

    @Test
    public void aReaderThatTakesNothingIsLetGoAtTheIdleLimit() throws Exception {
        serve(IDLE_MILLIS, SlowReaderTest::answerAtOnce);
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.request("/");
            await(() -> mServer.sendingConnections() == 1, "the reader takes nothing");
            await(() -> mServer.connectionCount() == 0, "the connection is closed");
            await(() -> mServer.activeExchanges() == 0, "the exchange is over");
        }
    }

    @Test
    public void aRefusedRequestWhoseBodyStaysAwayCutsNoAnswerBeforeIt() throws Exception {
        serve(WAIT_MILLIS, SlowReaderTest::answerAtOnce);
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.request("/");
            await(() -> mServer.sendingConnections() == 1, "the reader is slower");
            reader.send("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n");
            Thread.sleep(REQUEST_MILLIS + 200);
            long read = reader.readToEnd(100_000, 5);
            assertTrue(read > ANSWER_BYTES, "cut after " + read);
        }
    }

    @Test
    public void aRequestAfterTheLastAnswerOfItsConnectionReachesNobody() throws Exception {
        serve(WAIT_MILLIS, SlowReaderTest::answerAtOnce);
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.send("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            await(() -> mServer.sendingConnections() == 1, "the reader is slower");
            reader.request("/afterwards");
            long read = reader.readToEnd(100_000, 5);
            assertTrue(read > ANSWER_BYTES, "cut after " + read);
            assertEquals(mHandled, List.of("/last"));
        }
    }

    @Test
    public void whatPrecedesAnAbortReachesASlowReader() throws Exception {
        serve(
                WAIT_MILLIS,
                exchange -> {
                    exchange.begin(200, new DefaultHttpHeaders());
                    exchange.write(new byte[ANSWER_BYTES]);
                    exchange.abort();
                });
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.request("/");
            long read = reader.readToEnd(100_000, 5);
            assertTrue(read > ANSWER_BYTES, "cut after " + read);
            await(() -> mServer.activeExchanges() == 0, "the exchange is over");
        }
    }

    @Test
    public void aReaderThatTakesNothingOfAnAbortedAnswerIsLetGoAtTheIdleLimit() throws Exception {
        serve(
                IDLE_MILLIS,
                exchange -> {
                    exchange.begin(200, new DefaultHttpHeaders());
                    exchange.write(new byte[ANSWER_BYTES]);
                    exchange.abort();
                });
        try (SlowReader reader = new SlowReader(mServer.address())) {
            reader.request("/");
            await(() -> mServer.sendingConnections() == 1, "the reader takes nothing");
            await(() -> mServer.connectionCount() == 0, "the connection is closed");
            await(() -> mServer.activeExchanges() == 0, "the exchange is over");
        }
    }

    @Test
    public void aConnectionOverTheLimitThatSendsNothingIsClosedWithTheIdleOnes() throws Exception {
        serve(WAIT_MILLIS, SlowReaderTest::answerAtOnce);
        try (SlowReader first = new SlowReader(mServer.address());
                SlowReader overLimit = new SlowReader(mServer.address())) {
            await(() -> mServer.connectionCount() == 2, "both are open");
            mServer.closeIdle();
            await(() -> mServer.connectionCount() == 0, "both are closed");
            assertEquals(first.readText() + overLimit.readText(), "");
        }
    }
}
