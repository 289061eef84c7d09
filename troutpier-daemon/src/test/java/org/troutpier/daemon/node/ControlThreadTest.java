package org.troutpier.daemon.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests the end of the control thread. */
public final class ControlThreadTest {

    private static final long WAIT_SECONDS = 10;

    /** A router closes its event loops after the control thread, which may still run a task. */
    @Test
    public void aTaskThatIsRejectedAfterTheCloseIsNoViolation() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        long before = Invariants.violationCount();
        ControlThread control = new ControlThread();
        control.execute(
                () -> {
                    begun.countDown();
                    awaitUninterruptibly(closed);
                    ended.countDown();
                    throw new RejectedExecutionException("event loop is shut down");
                });
        assertTrue(begun.await(WAIT_SECONDS, TimeUnit.SECONDS));
        control.close();
        closed.countDown();
        assertTrue(ended.await(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(Invariants.violationCount(), before);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        boolean open = false;
        while (!open) {
            try {
                open = latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                open = latch.getCount() == 0;
            }
        }
    }
}
