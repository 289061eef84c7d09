package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.troutpier.testing.RawServer;

/** Answers that break the syntax of HTTP/1.1, at the real client. */
public final class MalformedAnswerTest {

    private static final String FIELDS = "Content-Length: 2\n\nok";

    private static final int CALL_MILLIS = 5000;

    private EventLoopGroup mLoops;
    private HttpClient mCalls;
    private RawServer mServer;

    @BeforeMethod
    void start() throws IOException {
        mLoops = new NioEventLoopGroup(1);
        mCalls = new HttpClient(mLoops);
        mServer = new RawServer(RawServer.Answer.ofLines(""));
    }

    @AfterMethod(alwaysRun = true)
    void stop() throws IOException {
        mServer.close();
        mCalls.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static Object[][] rows(String... texts) {
        return Stream.of(texts).map(text -> new Object[] {text}).toArray(Object[][]::new);
    }

    private HttpCall call(String method) {
        return HttpCall.of(method, "http://127.0.0.1:" + mServer.port() + "/")
                .withTimeout(CALL_MILLIS);
    }

    private void assertRejected(String answer) throws Exception {
        mServer.setAnswer(RawServer.Answer.ofLines(answer));
        for (HttpCall call : new HttpCall[] {call("GET"), call("GET").withFreshConnection()}) {
            try {
                HttpReply reply = mCalls.call(call).join();
                throw new AssertionError(
                        "answered " + reply.status() + reply.headers() + reply.text());
            } catch (CompletionException exception) {
                CallFailedException failure = (CallFailedException) exception.getCause();
                assertTrue(failure.mayHaveBeenSent());
                assertTrue(
                        failure.getCause() instanceof MalformedResponseException,
                        "caused by " + failure.getCause());
            }
            assertTrue(mServer.awaitClosed(CALL_MILLIS), "the connection is still open");
        }
        assertEquals(mCalls.idleConnections(), 0);
    }

    private HttpReply accepted(String method, String answer) {
        mServer.setAnswer(RawServer.Answer.ofLines(answer));
        return mCalls.call(call(method)).join();
    }

    @DataProvider
    Object[][] malformedStatusLines() {
        return rows(
                "HTTP/1.1 000 No",
                "HTTP/1.1 001 No",
                "HTTP/1.1 099 No",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 600 No",
                "HTTP/1.1 999 No",
                "HTTP/1.1 1000 No",
                "HTTP/1.1 ",
                "HTTP/1.1",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200\tOK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 200\tOK",
                "HTTP/0.9 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/9.9 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/1 200 OK",
                "http/1.1 200 OK",
                "HTCPCP/1.1 200 OK",
                " HTTP/1.1 200 OK",
                "\nHTTP/1.1 200 OK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/1.1 200 O\u007fK",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 000 No",
                "HTTP/1.1 000 No\n\nHTTP/1.1 200 OK");
    }

    @Test(dataProvider = "malformedStatusLines")
    public void aMalformedStatusLineIsNoAnswer(String lines) throws Exception {
        assertRejected(lines + "\n" + FIELDS);
    }

    @DataProvider
    Object[][] statusLines() {
        return new Object[][] {
            {"HTTP/1.1 200 OK", 200},
            {"HTTP/1.1 200 ", 200},
            {"HTTP/1.1 200", 200},
            {"HTTP/1.0 200 OK", 200},
            {"HTTP/1.1 599 Any \t reason: \u00e9", 599},
            {"HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 404 No", 404},
        };
    }

    @Test(dataProvider = "statusLines")
    public void aSoundStatusLineIsPassedOn(String lines, int status) {
        HttpReply reply = accepted("GET", lines + "\n" + FIELDS);
        assertEquals(reply.status(), status);
        assertEquals(reply.text(), "ok");
    }
}
