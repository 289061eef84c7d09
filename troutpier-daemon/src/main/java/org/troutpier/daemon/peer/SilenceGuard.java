package org.troutpier.daemon.peer;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes a connection to another router that no longer answers. Connections may go silent for good
 * without a reset. Confined to the connection's event loop. Invariants: a connection on which
 * messages are sent all the time is closed {@link PeerMesh#SILENT_MILLIS} after the last answer,
 * one whose opening is not answered as long after it; one on which nothing is sent is kept, and
 * asked now and then.
 *
 * <p>It answers the many connections of a large fleet that stand by for a lost relay. Closed and
 * opened again for their silence, each cost four proofs of the secret every two seconds.
 */
final class SilenceGuard extends ChannelDuplexHandler {

    /** How long nothing is sent or heard before the other side is asked, milliseconds. */
    static final long ASK_MILLIS = 5000;

    /** How long a message that must be answered is waited for, milliseconds. */
    private static final long ANSWER_MILLIS = PeerMesh.SILENT_MILLIS - PeerMesh.HEARD_MILLIS;

    /** The monotonic clock, milliseconds. */
    private final LongSupplier mMillis;

    /** Runs before a silent connection is closed. */
    private final Runnable mOnSilent;

    /** When something was heard last, milliseconds. */
    private long mHeardAt;

    /** Whether a message that must be answered was sent and not answered. */
    private boolean mUnanswered;

    /** When the first such message was sent, milliseconds. */
    private long mUnansweredSince;

    /** The next look. */
    private Future<?> mLook;

    /**
     * Creates a guard.
     *
     * @param millis the monotonic clock, milliseconds
     * @param onSilent runs before a silent connection is closed
     */
    SilenceGuard(LongSupplier millis, Runnable onSilent) {
        mMillis = millis;
        mOnSilent = onSilent;
    }

    /** {@inheritDoc} The opening must be answered as any message that is sent at its end. */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        mHeardAt = mMillis.getAsLong();
        mUnanswered = true;
        mUnansweredSince = mHeardAt + PeerMesh.HEARD_MILLIS;
        lookLater(context, ANSWER_MILLIS);
        context.fireChannelActive();
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mLook != null) {
            mLook.cancel(false);
        }
        context.fireChannelInactive();
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mHeardAt = mMillis.getAsLong();
        mUnanswered = false;
        context.fireChannelRead(message);
    }

    /** {@inheritDoc} The other side answers at most once in a pause, so not each must be. */
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        long now = mMillis.getAsLong();
        if (!mUnanswered && now - mHeardAt >= PeerMesh.HEARD_MILLIS) {
            mUnanswered = true;
            mUnansweredSince = now;
        }
        context.write(message, promise);
    }

    /**
     * Plans the next look.
     *
     * @param context the connection
     * @param millis how much later
     */
    private void lookLater(ChannelHandlerContext context, long millis) {
        mLook =
                context.executor()
                        .schedule(() -> look(context), Math.max(1, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection if it is silent, or asks the other side where nothing was said for
     * long.
     *
     * @param context the connection
     */
    private void look(ChannelHandlerContext context) {
        long now = mMillis.getAsLong();
        long unanswered = mUnanswered ? now - mUnansweredSince : 0;
        if (unanswered >= ANSWER_MILLIS) {
            mOnSilent.run();
            context.close();
            return;
        }
        if (!mUnanswered && now - mHeardAt >= ASK_MILLIS) {
            write(context, new PeerMessage.Heard(), context.newPromise());
            context.flush();
        }
        lookLater(context, ANSWER_MILLIS - unanswered);
    }
}
