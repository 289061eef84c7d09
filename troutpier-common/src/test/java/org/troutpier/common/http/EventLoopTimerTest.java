package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.Timeout;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the timer on event loops. */
class EventLoopTimerTest {

    private NioEventLoopGroup mLoops;
    private EventLoopTimer mTimer;

    @BeforeMethod
    void start() {
        mLoops = new NioEventLoopGroup(1);
        mTimer = new EventLoopTimer(mLoops);
    }

    @AfterMethod
    void shutDown() {
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void dueTaskReceivesItsTimeout() throws Exception {
        CompletableFuture<Timeout> received = new CompletableFuture<>();
        long begin = System.nanoTime();
        Timeout timeout = mTimer.newTimeout(received::complete, 30, TimeUnit.MILLISECONDS);
        assertFalse(timeout.isExpired());
        assertSame(received.get(5, TimeUnit.SECONDS), timeout);
        assertTrue(System.nanoTime() - begin >= 30_000_000L);
        mLoops.next().submit(() -> {}).sync();
        assertTrue(timeout.isExpired());
        assertFalse(timeout.cancel());
    }

    @Test
    void cancelledTaskDoesNotRun() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        Timeout timeout =
                mTimer.newTimeout(due -> runs.incrementAndGet(), 10, TimeUnit.MILLISECONDS);
        assertTrue(timeout.cancel());
        assertTrue(timeout.isCancelled());
        assertFalse(timeout.isExpired());
        mLoops.next().schedule(() -> {}, 40, TimeUnit.MILLISECONDS).sync();
        assertEquals(runs.get(), 0);
    }
}
