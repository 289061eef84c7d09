package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.troutpier.common.result.ResultCode;

/**
 * Limits the time between the first and the last byte of a request, so that a client that sends
 * slowly cannot hold a connection for long. Confined to the connection's event loop.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {

    /** How long a request may take, milliseconds. */
    private final int mTimeoutMillis;

    private final ServerRefusals mRefusals;

    /** The running timer, or null between requests. */
    private Future<?> mTimer;

    /** Whether the request that is being received was answered before it was complete. */
    private boolean mAnswered;

    /** Whether an exchange is being served; bytes that arrive meanwhile start no timer. */
    private BooleanSupplier mServing = () -> false;

    /**
     * Creates a handler.
     *
     * @param timeoutMillis how long a request may take, milliseconds
     */
    RequestTimeoutHandler(int timeoutMillis, ServerRefusals refusals) {
        mTimeoutMillis = timeoutMillis;
        mRefusals = refusals;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mTimer == null && !mServing.getAsBoolean()) {
            mTimer =
                    context.executor()
                            .schedule(() -> expire(context), mTimeoutMillis, TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    /**
     * Refuses a request that is incomplete after the time limit, or closes the connection if it was
     * already answered.
     */
    private void expire(ChannelHandlerContext context) {
        mTimer = null;
        if (mAnswered) {
            context.channel().config().setAutoRead(false);
            OrderlyClose.afterOutput(context.channel());
            return;
        }
        RefusalWriter.refuseAndClose(context.channel(), mRefusals, ResultCode.REQUEST_TOO_SLOW);
    }

    /**
     * Sets the predicate that tells whether an exchange is being served.
     *
     * @param serving whether an exchange is being served
     */
    void setServingCheck(BooleanSupplier serving) {
        mServing = serving;
    }

    /** Records that the current request was answered although its body is still incomplete. */
    void markAnswered() {
        mAnswered = true;
    }

    /** Stops the timer: the request is complete or its connection is closed. */
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
