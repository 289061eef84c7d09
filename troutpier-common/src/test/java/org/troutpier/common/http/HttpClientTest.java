package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.settings.Address;

public class HttpClientTest {

    private EventLoopGroup mLoops;
    private HttpClient mCalls;
    private HttpServer mServer;

    @BeforeMethod
    public void start() {
        mLoops = new NioEventLoopGroup(2);
        mCalls = new HttpClient(mLoops);
        mServer =
                new HttpServer(
                        new Address("127.0.0.1", 0),
                        mLoops,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        exchange -> {
                            int millis = exchange.path().equals("/slow") ? 300 : 0;
                            exchange.loop()
                                    .schedule(
                                            () -> exchange.answer(HttpResponses.json(200, "done")),
                                            millis,
                                            TimeUnit.MILLISECONDS);
                        });
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mServer.close();
        mCalls.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static final class RecordingListener implements ReplyListener {
        final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public void onHead(int status, HttpHeaders headers) {}

        @Override
        public void onPart(byte[] part) {}

        @Override
        public void onEnd() {
            mEnd.complete("whole");
        }

        @Override
        public void onFailure(CallFailedException failure) {
            mEnd.complete("sent " + failure.mayHaveBeenSent() + " " + failure.getMessage());
        }
    }

    private HttpCall call(String path) {
        return HttpCall.of("GET", mServer.address().url(path));
    }

    @Test
    public void endingAnExchangeThatIsOverLeavesItsConnectionToTheNext() throws Exception {
        RecordingListener first = new RecordingListener();
        HttpClient.OngoingCall over = mCalls.send(call("/"), first);
        assertEquals(first.mEnd.get(5, TimeUnit.SECONDS), "whole");
        RecordingListener second = new RecordingListener();
        mCalls.send(call("/slow"), second);
        over.abort();
        over.pause();
        assertEquals(second.mEnd.get(5, TimeUnit.SECONDS), "whole");
    }

    @Test
    public void tellsThatNothingWasSentWhenTheConnectionIsRefused() throws Exception {
        Address nobody = mServer.address();
        mServer.close();
        RecordingListener ended = new RecordingListener();
        mCalls.send(HttpCall.of("GET", nobody.url("/")), ended);
        assertTrue(ended.mEnd.get(5, TimeUnit.SECONDS).startsWith("sent false"));
    }

    @Test
    public void tellsThatSomethingMayHaveBeenSentWhenNoAnswerComes() throws Exception {
        RecordingListener ended = new RecordingListener();
        mCalls.send(call("/slow").withTimeout(50), ended);
        assertTrue(ended.mEnd.get(5, TimeUnit.SECONDS).startsWith("sent true"));
    }

    @Test
    public void anAbortedExchangeIsHeardNoMore() throws Exception {
        RecordingListener ended = new RecordingListener();
        HttpClient.OngoingCall ongoing = mCalls.send(call("/slow"), ended);
        ongoing.abort();
        RecordingListener next = new RecordingListener();
        mCalls.send(call("/slow"), next);
        assertEquals(next.mEnd.get(5, TimeUnit.SECONDS), "whole");
        assertFalse(ended.mEnd.isDone());
    }

    /** A server that responds on each connection until its open connections are made silent. */
    private static final class SilencedServer implements AutoCloseable {
        final ServerSocket mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<Socket> mOpen = new CopyOnWriteArrayList<>();
        final Set<Socket> mSilent = ConcurrentHashMap.newKeySet();

        SilencedServer() throws IOException {
            Thread accepting = new Thread(this::accept, "silent later");
            accepting.setDaemon(true);
            accepting.start();
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Socket socket = mSocket.accept();
                    mOpen.add(socket);
                    Thread serving = new Thread(() -> serve(socket), "serving");
                    serving.setDaemon(true);
                    serving.start();
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(socket.getInputStream()));
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (line.isEmpty() && !mSilent.contains(socket)) {
                        socket.getOutputStream()
                                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
                    }
                }
            } catch (IOException exception) {
                System.out.println("connection over: " + exception.getMessage());
            }
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
            for (Socket socket : mOpen) {
                socket.close();
            }
        }
    }

    @Test
    public void whenOneKeptConnectionIsSilentTheOthersToItsHostAreNotUsedEither() throws Exception {
        try (SilencedServer server = new SilencedServer()) {
            String url = "http://127.0.0.1:" + server.mSocket.getLocalPort() + "/";
            List<CompletableFuture<HttpReply>> first = new ArrayList<>();
            for (int call = 0; call < 4; call++) {
                first.add(mCalls.call(HttpCall.of("GET", url).withTimeout(5000)));
            }
            first.forEach(CompletableFuture::join);
            assertTrue(server.mOpen.size() > 1, "connections " + server.mOpen.size());
            server.mSilent.addAll(server.mOpen);
            HttpCall next = HttpCall.of("GET", url).withTimeout(300);
            int lost = 0;
            while (mCalls.call(next).handle((reply, failure) -> failure != null).join()) {
                lost++;
            }
            assertEquals(lost, 1, "calls without an answer");
        }
    }

    /** Answers one request with a body that ends with the connection. */
    private CompletableFuture<HttpReply> callWithoutLength(boolean reset) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            CompletableFuture<HttpReply> reply =
                    mCalls.call(
                            HttpCall.of("GET", "http://127.0.0.1:" + server.getLocalPort() + "/"));
            try (Socket socket = server.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream()));
                while (!in.readLine().isEmpty()) {
                    continue;
                }
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nall".getBytes());
                socket.getOutputStream().flush();
                TimeUnit.MILLISECONDS.sleep(50);
                socket.setSoLinger(reset, 0);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            return reply;
        }
    }

    @Test
    public void anAnswerWithoutLengthIsCompleteWhenItsConnectionIsClosed() throws IOException {
        assertEquals(new String(callWithoutLength(false).join().body()), "all");
    }

    @Test
    public void anAnswerWithoutLengthIsNotCompleteWhenItsConnectionIsReset() throws IOException {
        CompletableFuture<HttpReply> reply = callWithoutLength(true);
        reply.handle((answer, failure) -> null).join();
        assertTrue(reply.isCompletedExceptionally());
    }
}
