package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.settings.Address;

/** Tests accepting and closing of connections. */
public final class HttpServerTest {

    private static final int READ_MILLIS = 10_000;

    private NioEventLoopGroup mLoops;
    private CompletableFuture<HttpExchange> mExchange;
    private HttpServer mServer;

    @BeforeMethod
    void start() {
        mLoops = new NioEventLoopGroup(1);
        mExchange = new CompletableFuture<>();
        mServer =
                new HttpServer(
                        new Address("127.0.0.1", 0),
                        mLoops,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        mExchange::complete);
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mServer.close();
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    public void aRequestThatCameBeforeTheServerAcceptsIsServedThen() throws IOException {
        ListeningSocket socket = ListeningSocket.open(new Address("127.0.0.1", 0));
        try (Socket caller = new Socket("127.0.0.1", socket.address().port())) {
            caller.setSoTimeout(READ_MILLIS);
            caller.getOutputStream().write(request("/"));
            HttpServer server = server(socket, mExchange::complete);
            assertEquals(server.connectionCount(), 0);
            server.startAccepting();
            HttpExchange exchange = mExchange.orTimeout(10, TimeUnit.SECONDS).join();
            assertEquals(server.connectionCount(), 1);
            exchange.answer(HttpResponses.json(200, Map.of()));
            byte[] first = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
            assertEquals(new String(first, StandardCharsets.US_ASCII), "HTTP/1.1 200");
            server.close();
        }
    }

    @Test
    public void aRequestWhoseCallerLeftBeforeTheServerAcceptsReachesNobody() throws IOException {
        ListeningSocket socket = ListeningSocket.open(new Address("127.0.0.1", 0));
        int port = socket.address().port();
        List<String> handled = new CopyOnWriteArrayList<>();
        for (int caller = 0; caller < 20; caller++) {
            try (Socket left = new Socket("127.0.0.1", port)) {
                left.getOutputStream().write(request("/left"));
            }
        }
        try (Socket there = new Socket("127.0.0.1", port)) {
            there.setSoTimeout(READ_MILLIS);
            there.getOutputStream().write(request("/there"));
            HttpServer server =
                    server(
                            socket,
                            exchange -> {
                                handled.add(exchange.path());
                                exchange.answer(HttpResponses.json(200, Map.of()));
                            });
            assertFalse(server.isAccepting());
            server.startAccepting();
            assertTrue(server.isAccepting());
            byte[] first = there.getInputStream().readNBytes("HTTP/1.1 200".length());
            assertEquals(new String(first, StandardCharsets.US_ASCII), "HTTP/1.1 200");
            server.close();
        }
        assertEquals(handled, List.of("/there"));
    }

    /** Creates a server on a listening socket that does not accept connections yet. */
    private HttpServer server(ListeningSocket socket, HttpHandler handler) {
        return server(socket, handler, ConnectionGate.ForNoRestriction.INSTANCE);
    }

    private HttpServer server(ListeningSocket socket, HttpHandler handler, ConnectionGate gate) {
        return new HttpServer(
                socket,
                mLoops,
                () -> ServerLimits.DEFAULT,
                ServerRefusals.AsJson.INSTANCE,
                handler,
                gate);
    }

    private static byte[] request(String path) {
        return ("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    @Test
    public void anAnswerThatBeganBeforeTheServerDrainsEndsItsConnectionToo() throws IOException {
        try (Socket caller = new Socket("127.0.0.1", mServer.address().port())) {
            caller.setSoTimeout(READ_MILLIS);
            String request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            HttpExchange exchange = mExchange.orTimeout(10, TimeUnit.SECONDS).join();
            exchange.begin(200, new DefaultHttpHeaders());
            mServer.drain();
            exchange.end();
            byte[] all = caller.getInputStream().readAllBytes();
            String answer = new String(all, StandardCharsets.US_ASCII);
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            assertFalse(answer.contains("close"), answer);
        }
    }

    @Test
    public void aConnectionThatIsNotAdmittedIsClosedAndItsRequestNotRead() throws IOException {
        ListeningSocket socket = ListeningSocket.open(new Address("127.0.0.1", 0));
        HttpServer server = server(socket, mExchange::complete, connection -> false);
        server.startAccepting();
        try (Socket caller = new Socket("127.0.0.1", socket.address().port())) {
            caller.setSoTimeout(READ_MILLIS);
            caller.getOutputStream().write(request("/"));
            assertEquals(caller.getInputStream().read(), -1);
        } catch (SocketException reset) {
            assertTrue(reset.getMessage().contains("reset"), reset.getMessage());
        }
        assertFalse(mExchange.isDone());
        assertEquals(server.connectionCount(), 0);
        server.close();
    }
}
