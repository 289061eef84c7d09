package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.testing.RawServer;

/** Servers whose answers never end, at the real client. */
public final class EndlessAnswerTest {

    private static final String CHUNKED = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n";

    /** Time limit of a call, far beyond the time in which its answer exceeds a limit. */
    private static final int CALL_MILLIS = 10_000;

    /** Limit of bodies that are costly to decode. */
    private static final int BODY_BYTES = 1024 * 1024;

    /** What the sockets of both sides hold while nothing is read. */
    private static final long SOCKET_BYTES = 12_000_000;

    private EventLoopGroup mLoops;
    private HttpClient mCalls;

    @BeforeMethod
    void start() {
        mLoops = new NioEventLoopGroup(1);
        mCalls = new HttpClient(mLoops);
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mCalls.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @DataProvider
    Object[][] framing() {
        return new Object[][] {
            {"status line", "HTTP/1.1 200 ", "x"},
            {"blank lines before the head", "", "\n"},
            {"spaces before the head", "", " "},
            {"header", "HTTP/1.1 200 OK\nX: ", "x"},
            {"headers", "HTTP/1.1 200 OK\n", "X: y\n"},
            {"interim responses 100", "", "HTTP/1.1 100 Continue\n\n"},
            {"interim responses 103", "", "HTTP/1.1 103 Early Hints\nLink: x\n\n"},
            {"switched protocol", "HTTP/1.1 101 Switching Protocols\nUpgrade: x\n\n", "x"},
            {"chunk size line", CHUNKED, "0"},
            {"chunk extension", CHUNKED + "5;x=", "x"},
            {"after a chunk", CHUNKED + "1\nx", "x"},
            {"trailer", CHUNKED + "0\nX: ", "x"},
            {"trailers", CHUNKED + "0\n", "X: y\n"},
        };
    }

    private static HttpCall post(int port) {
        return HttpCall.of("POST", "http://127.0.0.1:" + port + "/")
                .withBody(new byte[100])
                .withTimeout(CALL_MILLIS);
    }

    private static String outcome(CompletableFuture<HttpReply> reply) throws Exception {
        try {
            return "status " + reply.get(CALL_MILLIS / 2, TimeUnit.MILLISECONDS).status();
        } catch (ExecutionException exception) {
            CallFailedException failure = (CallFailedException) exception.getCause();
            assertTrue(failure.mayHaveBeenSent());
            return "failed";
        }
    }

    @Test(dataProvider = "framing")
    public void framingWithoutEndFailsTheCallAtOnce(String what, String start, String unit)
            throws Exception {
        for (boolean fresh : new boolean[] {false, true}) {
            try (RawServer server = new RawServer(RawServer.Answer.ofLines(start, unit))) {
                HttpCall call = post(server.port());
                assertEquals(
                        outcome(mCalls.call(fresh ? call.withFreshConnection() : call)), "failed");
                assertTrue(server.awaitClosed(CALL_MILLIS / 2), "the connection is still open");
                assertTrue(server.sentBytes() < SOCKET_BYTES, "sent " + server.sentBytes());
            }
        }
    }

    @DataProvider
    Object[][] bodies() {
        return new Object[][] {
            {"until the end", "HTTP/1.1 200 OK\nX: y\n\n", "x"},
            {"without headers", "HTTP/1.1 200 OK\n\n", "x"},
            {"of one chunk", CHUNKED + "7fffffff\n", "x"},
            {"in chunks", CHUNKED, "8\nabcdefgh\n"},
            {"with a length", "HTTP/1.1 200 OK\nContent-Length: 9000000000\n\n", "x"},
        };
    }

    @Test(dataProvider = "bodies")
    public void aBodyWithoutEndFailsTheCallAtItsLimit(String what, String start, String unit)
            throws Exception {
        try (RawServer server = new RawServer(RawServer.Answer.ofLines(start, unit))) {
            assertEquals(outcome(mCalls.call(post(server.port()), BODY_BYTES)), "failed");
            assertTrue(server.awaitClosed(CALL_MILLIS / 2), "the connection is still open");
        }
    }

    @Test
    public void chunksOfSingleBytesWithoutEndFailACallThatSetsNoLimit() throws Exception {
        try (RawServer server = new RawServer(RawServer.Answer.ofLines(CHUNKED, "1\nx\n"))) {
            assertEquals(outcome(mCalls.call(post(server.port()))), "failed");
            assertTrue(server.awaitClosed(CALL_MILLIS / 2), "the connection is still open");
        }
    }

    @Test
    public void aBodyInSmallChunksIsWhole() throws Exception {
        String singles = "1\nx\n".repeat(6000) + "0\n\n";
        String fives = "5\nabcde\n".repeat(100_000) + "0\n\n";
        for (String chunks : new String[] {singles, fives}) {
            try (RawServer server = new RawServer(RawServer.Answer.ofLines(CHUNKED + chunks))) {
                int length = chunks.replaceAll("\n?[0-9]\n\n?", "").length();
                assertEquals(mCalls.call(post(server.port())).join().body().length, length);
            }
        }
    }

    @Test
    public void aBodyWithoutEndFailsACallThatSetsNoLimit() throws Exception {
        try (RawServer server =
                new RawServer(RawServer.Answer.ofLines("HTTP/1.1 200 OK\n\n", "x"))) {
            assertEquals(outcome(mCalls.call(post(server.port()))), "failed");
            assertTrue(server.awaitClosed(CALL_MILLIS / 2), "the connection is still open");
        }
    }

    @Test
    public void bytesBeyondTheLengthLeaveTheAnswerWholeAndCloseItsConnection() throws Exception {
        String whole = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok";
        for (String unit : new String[] {"x", "HTTP/1.1 500 No\nContent-Length: 1\n\nx"}) {
            try (RawServer server = new RawServer(RawServer.Answer.ofLines(whole, unit))) {
                assertEquals(outcome(mCalls.call(post(server.port()))), "status 200");
                assertTrue(server.awaitClosed(CALL_MILLIS / 2), "the connection is still open");
                assertEquals(mCalls.idleConnections(), 0);
            }
        }
    }

    /**
     * Answers one request with a text in one write and returns the bytes that were received after
     * the head of the request.
     */
    private static int serveOnce(ServerSocket server, String answer) throws IOException {
        try (Socket socket = server.accept()) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            while (!in.readLine().isEmpty()) {
                continue;
            }
            socket.getOutputStream().write(answer.replace("\n", "\r\n").getBytes());
            int received = 0;
            while (in.read() >= 0) {
                received++;
            }
            return received;
        }
    }

    @Test
    public void interimResponsesAreIgnored() throws Exception {
        String answer = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok";
        for (String interim : new String[] {"100 Continue", "102 Processing", "103 Early Hints"}) {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                CompletableFuture<HttpReply> reply =
                        mCalls.call(post(server.getLocalPort()).withFreshConnection());
                int received = serveOnce(server, "HTTP/1.1 " + interim + "\n\n" + answer);
                assertEquals(outcome(reply), "status 200", interim);
                assertEquals(received, 100, "bytes of the request's body");
            }
        }
    }

    @Test
    public void anAnswerWithoutHeadersHasAnEmptyHead() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            CompletableFuture<HttpReply> reply =
                    mCalls.call(post(server.getLocalPort()).withFreshConnection());
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[1000]);
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nall".getBytes());
                TimeUnit.MILLISECONDS.sleep(50);
                socket.shutdownOutput();
                assertEquals(outcome(reply), "status 200");
                assertTrue(reply.join().headers().isEmpty());
            }
        }
    }
}
