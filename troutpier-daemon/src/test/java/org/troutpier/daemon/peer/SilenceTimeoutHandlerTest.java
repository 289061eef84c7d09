package org.troutpier.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When a connection is closed as silent, and when it is probed. */
public final class SilenceTimeoutHandlerTest {

    private static final PeerMessage MESSAGE = new PeerMessage.Heard();
    private static final long STEP_MILLIS = 50;

    private long mMillis;
    private int mTimeouts;
    private EmbeddedChannel mChannel;

    @BeforeMethod
    void open() {
        mMillis = 0;
        mTimeouts = 0;
        mChannel = new EmbeddedChannel(new SilenceTimeoutHandler(() -> mMillis, () -> mTimeouts++));
    }

    /**
     * Guards against an unanswered handshake that is noticed only by the probe after five seconds,
     * until which the router cannot be reached.
     */
    @Test
    public void aConnectionWhoseOpeningIsNotAnsweredIsClosed() {
        pass(PeerMesh.SILENCE_TIMEOUT_MILLIS - STEP_MILLIS);
        assertTrue(mChannel.isActive());
        pass(2 * STEP_MILLIS);
        assertFalse(mChannel.isActive());
        assertEquals(mTimeouts, 1);
    }

    private void pass(long millis) {
        for (long left = millis; left > 0; left -= STEP_MILLIS) {
            mMillis += STEP_MILLIS;
            mChannel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }

    /** Returns the time until a connection is closed on which messages are sent continuously. */
    private long closedAfter(long pauseMillis) {
        long from = mMillis;
        while (mChannel.isActive()) {
            mChannel.writeOutbound(MESSAGE);
            pass(pauseMillis);
        }
        return mMillis - from;
    }

    @Test
    public void aConnectionThatIsUsedIsClosedWhenItIsSilent() {
        pass(600);
        mChannel.writeInbound(MESSAGE);
        long after = closedAfter(50);
        assertTrue(after <= PeerMesh.SILENCE_TIMEOUT_MILLIS + STEP_MILLIS, "closed after " + after);
        assertEquals(mTimeouts, 1);
    }

    @Test
    public void aConnectionThatAnswersIsKept() {
        for (int round = 0; round < 40; round++) {
            mChannel.writeOutbound(MESSAGE);
            pass(200);
            mChannel.writeOutbound(MESSAGE);
            pass(300);
            mChannel.writeInbound(MESSAGE);
        }
        assertTrue(mChannel.isActive());
    }

    @Test
    public void aMessageThatNeedNotBeAnsweredClosesNothing() {
        mChannel.writeInbound(MESSAGE);
        pass(100);
        mChannel.writeOutbound(MESSAGE);
        pass(2 * PeerMesh.SILENCE_TIMEOUT_MILLIS);
        assertTrue(mChannel.isActive());
    }

    @Test
    public void anIdleConnectionIsProbedAndClosedWithoutAnAnswer() {
        mChannel.writeInbound(MESSAGE);
        pass(SilenceTimeoutHandler.PROBE_IDLE_MILLIS - 2 * PeerMesh.SILENCE_TIMEOUT_MILLIS);
        assertNull(mChannel.readOutbound());
        pass(3 * PeerMesh.SILENCE_TIMEOUT_MILLIS);
        assertNotNull(mChannel.readOutbound());
        pass(PeerMesh.SILENCE_TIMEOUT_MILLIS);
        assertFalse(mChannel.isActive());
    }
}
