package org.troutpier.common.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.SimpleMessage;
import org.testng.annotations.Test;

/** Tests that logging never blocks. */
public final class DropWhenFullTest {

    private static final int CAPACITY = 4;
    private static final int LINES = 50;

    /** An appender that blocks until it is released. */
    private static final class BlockingAppender extends AbstractAppender {
        final CountDownLatch mRelease = new CountDownLatch(1);
        final List<String> mWritten = new CopyOnWriteArrayList<>();

        BlockingAppender() {
            super("output", null, null, false, Property.EMPTY_ARRAY);
        }

        @Override
        public void append(LogEvent event) {
            try {
                assertTrue(mRelease.await(10, TimeUnit.SECONDS));
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            mWritten.add(event.getMessage().getFormattedMessage());
        }
    }

    @Test(timeOut = 20_000)
    public void linesWithoutRoomAreDroppedAndCountedAndNobodyWaits() {
        BlockingAppender output = new BlockingAppender();
        output.start();
        DefaultConfiguration configuration = new DefaultConfiguration();
        configuration.addAppender(output);
        AsyncAppender queue =
                AsyncAppender.newBuilder()
                        .setName("queue")
                        .setBufferSize(CAPACITY)
                        .setConfiguration(configuration)
                        .setAppenderRefs(
                                new AppenderRef[] {
                                    AppenderRef.createAppenderRef("output", Level.ALL, null)
                                })
                        .build();
        queue.start();
        long before = DropWhenFull.droppedCount();
        for (int line = 0; line < LINES; line++) {
            queue.append(
                    Log4jLogEvent.newBuilder()
                            .setLevel(Level.ERROR)
                            .setMessage(new SimpleMessage("line " + line))
                            .build());
        }
        long dropped = DropWhenFull.droppedCount() - before;
        assertTrue(dropped >= LINES - CAPACITY - 1, "dropped " + dropped);
        output.mRelease.countDown();
        queue.stop(10, TimeUnit.SECONDS);
        assertEquals(output.mWritten.size() + dropped, LINES);
    }
}
