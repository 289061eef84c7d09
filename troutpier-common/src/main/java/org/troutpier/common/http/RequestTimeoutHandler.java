package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.troutpier.common.result.ResultCode;

/**
 * Bounds the time from a request's first byte to its last, so that a caller who drips bytes holds
 * nothing for long. Confined to the connection's event loop.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {

    /** How long a request may take, milliseconds. */
    private final int mMillis;

    /** Makes the answer. */
    private final ServerRefusals mRefusals;

    /** The running timer, or null between requests. */
    private Future<?> mTimer;

    /** Whether the request that is arriving was answered before it has come whole. */
    private boolean mAnswered;

    /** Whether an exchange is being served, during which bytes start no timer. */
    private BooleanSupplier mServing = () -> false;

    /**
     * Creates a timer.
     *
     * @param millis how long a request may take, milliseconds
     * @param refusals makes the answer
     */
    RequestTimeoutHandler(int millis, ServerRefusals refusals) {
        mMillis = millis;
        mRefusals = refusals;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mTimer == null && !mServing.getAsBoolean()) {
            mTimer =
                    context.executor()
                            .schedule(() -> expire(context), mMillis, TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    /**
     * Refuses the request that did not arrive, or ends the connection of one that was answered.
     *
     * @param context the connection
     */
    private void expire(ChannelHandlerContext context) {
        mTimer = null;
        if (mAnswered) {
            context.close();
            return;
        }
        RefusalWriter.refuseAndClose(context.channel(), mRefusals, ResultCode.REQUEST_TOO_SLOW);
    }

    /**
     * Sets what tells whether an exchange is being served.
     *
     * @param serving whether an exchange is being served
     */
    void setServingCheck(BooleanSupplier serving) {
        mServing = serving;
    }

    /** Takes note that the request was answered, though the rest of it is still to come. */
    void markAnswered() {
        mAnswered = true;
    }

    /** Stops the timer: the request has arrived whole, or never will. */
    void stop() {
        mAnswered = false;
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stop();
        context.fireChannelInactive();
    }
}
