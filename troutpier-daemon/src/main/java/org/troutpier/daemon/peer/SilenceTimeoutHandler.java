package org.troutpier.daemon.peer;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes a connection to another router that no longer answers: a connection may go silent for good
 * without a reset. Confined to the event loop of the connection. Invariants: a connection with
 * continuous traffic is closed {@link PeerMesh#SILENCE_TIMEOUT_MILLIS} after the last answer, and
 * one whose handshake is not answered the same time after it was opened. An idle connection is kept
 * as long as it answers probes, which are sent after {@link #PROBE_IDLE_MILLIS}.
 *
 * <p>In a large fleet, many idle connections stand by in case a relay is lost. If they were closed
 * whenever they are silent and then opened again, each would cost four proofs of the secret every
 * two seconds.
 */
final class SilenceTimeoutHandler extends ChannelDuplexHandler {

    /** Time since the last message received after which the peer is probed, if no answer is due. */
    static final long PROBE_IDLE_MILLIS = 5000;

    /** Time to wait for the answer to a message that must be answered. */
    private static final long ANSWER_TIMEOUT_MILLIS =
            PeerMesh.SILENCE_TIMEOUT_MILLIS - PeerMesh.ACKNOWLEDGE_INTERVAL_MILLIS;

    private final LongSupplier mMillis;

    /** Called before the connection is closed. */
    private final Runnable mOnTimeout;

    /** Time of the last message received, milliseconds on the monotonic clock. */
    private long mHeardAt;

    /** Whether a message that must be answered has been sent and not been answered yet. */
    private boolean mUnanswered;

    /** Time of the first such message, milliseconds on the monotonic clock. */
    private long mUnansweredSince;

    private Future<?> mCheck;

    /**
     * Creates a handler.
     *
     * @param millis the monotonic clock, milliseconds
     * @param onTimeout called before a silent connection is closed
     */
    SilenceTimeoutHandler(LongSupplier millis, Runnable onTimeout) {
        mMillis = millis;
        mOnTimeout = onTimeout;
    }

    /**
     * {@inheritDoc} The answer to the handshake is due {@link PeerMesh#SILENCE_TIMEOUT_MILLIS}
     * after the connection opened.
     */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        mHeardAt = mMillis.getAsLong();
        mUnanswered = true;
        mUnansweredSince = mHeardAt + PeerMesh.ACKNOWLEDGE_INTERVAL_MILLIS;
        scheduleCheck(context, ANSWER_TIMEOUT_MILLIS);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mCheck != null) {
            mCheck.cancel(false);
        }
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mHeardAt = mMillis.getAsLong();
        mUnanswered = false;
        context.fireChannelRead(message);
    }

    /**
     * {@inheritDoc} A message must be answered only if nothing has been received for {@link
     * PeerMesh#ACKNOWLEDGE_INTERVAL_MILLIS}, since the peer acknowledges at most once per interval.
     */
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        long now = mMillis.getAsLong();
        if (!mUnanswered && now - mHeardAt >= PeerMesh.ACKNOWLEDGE_INTERVAL_MILLIS) {
            mUnanswered = true;
            mUnansweredSince = now;
        }
        context.write(message, promise);
    }

    private void scheduleCheck(ChannelHandlerContext context, long millis) {
        mCheck =
                context.executor()
                        .schedule(() -> check(context), Math.max(1, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection if an answer is overdue, or probes the peer if the connection has been
     * idle for {@link #PROBE_IDLE_MILLIS}.
     */
    private void check(ChannelHandlerContext context) {
        long now = mMillis.getAsLong();
        long unanswered = mUnanswered ? now - mUnansweredSince : 0;
        if (unanswered >= ANSWER_TIMEOUT_MILLIS) {
            mOnTimeout.run();
            context.close();
            return;
        }
        if (!mUnanswered && now - mHeardAt >= PROBE_IDLE_MILLIS) {
            write(context, new PeerMessage.Heard(), context.newPromise());
            context.flush();
        }
        scheduleCheck(context, ANSWER_TIMEOUT_MILLIS - unanswered);
    }
}
