package org.troutpier.daemon.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests control tasks on an event loop. */
class ControlLoopTest {

    private NioEventLoopGroup mLoops;
    private ControlLoop mControl;

    @BeforeMethod
    void start() {
        mLoops = new NioEventLoopGroup(1);
        mControl = new ControlLoop(mLoops.next());
    }

    @AfterMethod
    void shutDown() {
        mLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void tasksRunInOrderAndNeverWithinTheirCaller() throws Exception {
        List<String> steps = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        mControl.execute(
                () -> {
                    mControl.execute(() -> steps.add("second"));
                    mControl.execute(done::countDown);
                    steps.add("first");
                });
        assertTrue(done.await(5, TimeUnit.SECONDS));
        assertEquals(steps, List.of("first", "second"));
    }

    @Test
    void nothingRunsAfterClose() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch closed = new CountDownLatch(1);
        mControl.execute(
                () -> {
                    mControl.execute(runs::incrementAndGet);
                    mControl.schedule(runs::incrementAndGet, 1);
                    mControl.scheduleWithFixedDelay(runs::incrementAndGet, 1);
                    mControl.close();
                    mControl.execute(runs::incrementAndGet);
                    closed.countDown();
                });
        assertTrue(closed.await(5, TimeUnit.SECONDS));
        mLoops.next().schedule(() -> {}, 20, TimeUnit.MILLISECONDS).sync();
        assertEquals(runs.get(), 0);
    }
}
