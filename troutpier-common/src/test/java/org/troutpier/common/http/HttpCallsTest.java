package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.troutpier.common.settings.Address;

public class HttpCallsTest {

    private EventLoopGroup mLoops;
    private HttpCalls mCalls;
    private HttpServer mServer;

    @BeforeMethod
    public void start() {
        mLoops = new NioEventLoopGroup(2);
        mCalls = new HttpCalls(mLoops);
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
                                            () -> exchange.answer(Answers.json(200, "done")),
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

    private static final class Ended implements ReplyListener {
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
            mEnd.complete("sent " + failure.sent() + " " + failure.getMessage());
        }
    }

    private HttpCall call(String path) {
        return HttpCall.of("GET", mServer.address().url(path));
    }

    @Test
    public void endingAnExchangeThatIsOverLeavesItsConnectionToTheNext() throws Exception {
        Ended first = new Ended();
        HttpCalls.Ongoing over = mCalls.send(call("/"), first);
        assertEquals(first.mEnd.get(5, TimeUnit.SECONDS), "whole");
        Ended second = new Ended();
        mCalls.send(call("/slow"), second);
        over.abort();
        over.pause();
        assertEquals(second.mEnd.get(5, TimeUnit.SECONDS), "whole");
    }

    @Test
    public void tellsThatNothingWasSentWhenTheConnectionIsRefused() throws Exception {
        Address nobody = mServer.address();
        mServer.close();
        Ended ended = new Ended();
        mCalls.send(HttpCall.of("GET", nobody.url("/")), ended);
        assertTrue(ended.mEnd.get(5, TimeUnit.SECONDS).startsWith("sent false"));
    }

    @Test
    public void tellsThatSomethingMayHaveBeenSentWhenNoAnswerComes() throws Exception {
        Ended ended = new Ended();
        mCalls.send(call("/slow").withTimeout(50), ended);
        assertTrue(ended.mEnd.get(5, TimeUnit.SECONDS).startsWith("sent true"));
    }

    @Test
    public void anAbortedExchangeIsHeardNoMore() throws Exception {
        Ended ended = new Ended();
        HttpCalls.Ongoing ongoing = mCalls.send(call("/slow"), ended);
        ongoing.abort();
        Ended next = new Ended();
        mCalls.send(call("/slow"), next);
        assertEquals(next.mEnd.get(5, TimeUnit.SECONDS), "whole");
        assertFalse(ended.mEnd.isDone());
    }
}
