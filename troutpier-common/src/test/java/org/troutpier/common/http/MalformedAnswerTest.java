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

    private static final String OK = "HTTP/1.1 200 OK\n";

    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\n\n";

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
        // the server closes each connection, so one that was kept might be closed in between
        return mCalls.call(call(method).withFreshConnection()).join();
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

    @DataProvider
    Object[][] malformedFields() {
        return rows(
                "X Bad: v",
                "X\tBad: v",
                "X\u0001Bad: v",
                "X\u0000: v",
                "X\u007f: v",
                "X\u0080: v",
                "X(Bad): v",
                "Name : v",
                "Name\t: v",
                " First: v",
                "X: y\n folded",
                "X: y\n\tfolded",
                "no-colon",
                "no colon",
                ": v",
                "X: a\u0000b",
                "X: a\u0001b",
                "X: a\rb",
                "Content Length: 2",
                "Content-Length 9: 2",
                "Transfer Encoding: chunked",
                "Transfer-Encoding x: chunked",
                "Transfer-Encoding: cow",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked\nTransfer-Encoding: chunked",
                "Transfer-Encoding:");
    }

    @Test(dataProvider = "malformedFields")
    public void aMalformedFieldIsNoPartOfAnAnswer(String lines) throws Exception {
        assertRejected(OK + lines + "\n" + FIELDS);
        assertRejected(OK + "Good: v\n" + lines + "\n\n2\nok\n0\n\n");
        assertRejected("HTTP/1.1 103 Early Hints\n" + lines + "\n\n" + OK + FIELDS);
    }

    @DataProvider
    Object[][] malformedChunks() {
        return rows(
                "2\u0000\nok\n0\n\n",
                "2\u0000;a\nok\n0\n\n",
                "2 3\nok\n0\n\n",
                "0x2\nok\n0\n\n",
                "+2\nok\n0\n\n",
                "-2\nok\n0\n\n",
                " 2\nok\n0\n\n",
                "\nok\n0\n\n",
                ";a\nok\n0\n\n",
                "2;a=\u0001\nok\n0\n\n",
                "2\nokay\n0\n\n",
                "2\nok0\n\n",
                "1\no\n1\nk\nx\n",
                "2\nok\n0\nX Bad: v\n\n",
                "2\nok\n0\nX\u0001Bad: v\n\n",
                "2\nok\n0\nX\n\n",
                "2\nok\n0\n X: y\n\n");
    }

    @Test(dataProvider = "malformedChunks")
    public void aMalformedChunkIsNoPartOfAnAnswer(String chunks) throws Exception {
        assertRejected(CHUNKED + chunks);
    }

    @Test
    public void chunksOfAnOlderVersionAreNoAnswer() throws Exception {
        assertRejected("HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n");
    }

    @DataProvider
    Object[][] answers() {
        return rows(
                OK + FIELDS,
                OK + "a!#$%&'*+-.^_`|~09Z: v\nEmpty:\nBytes: \u0080\u00ff \t:\n" + FIELDS,
                OK + "X:v\nX: \tv \n" + FIELDS,
                CHUNKED + "2\nok\n0\n\n",
                CHUNKED + "01 ; a=\"b\"\no\n1  \nk\n000;x\nX-Trailer: v\n\n",
                CHUNKED.replace("chunked", "\tCHUNKED ") + "2\nok\n0\n\n",
                "HTTP/1.1 103 Early Hints\nLink: x\n\n" + CHUNKED + "2\nok\n0\n\n");
    }

    @Test(dataProvider = "answers")
    public void aSoundAnswerIsPassedOn(String answer) {
        assertEquals(accepted("GET", answer).text(), "ok");
    }

    @Test
    public void anAnswerWithoutBodyEndsWithItsHead() {
        String head = "Transfer-Encoding: chunked\n\n";
        assertEquals(accepted("HEAD", OK + head).status(), 200);
        assertEquals(accepted("GET", "HTTP/1.1 204 None\n" + head).status(), 204);
        assertEquals(accepted("GET", "HTTP/1.1 304 Same\n" + head).status(), 304);
    }
}
