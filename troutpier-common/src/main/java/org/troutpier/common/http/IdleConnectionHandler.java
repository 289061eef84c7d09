package org.troutpier.common.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Closes a connection that has been idle for too long, or on request as soon as it is idle.
 * Confined to the connection's event loop. Invariant: a connection is idle only if no request is
 * being served and all output has been written to the socket. Output that nobody takes is given up
 * after the idle limit.
 */
public final class IdleConnectionHandler extends ChannelDuplexHandler {

    private final long mLimitMillis;

    private final BooleanSupplier mServing;

    private IdleTimeout mTimeout;

    private Future<?> mCheck;

    /** Events that are handled. */
    public enum Event {
        /** Closes the connection if it is idle. */
        CLOSE_IF_IDLE
    }

    /**
     * Creates a handler.
     *
     * @param limitMillis how long the connection may be idle, milliseconds
     * @param serving whether a request is being served
     */
    public IdleConnectionHandler(long limitMillis, BooleanSupplier serving) {
        mLimitMillis = limitMillis;
        mServing = serving;
    }

    /** Returns whether output of a connection waits for its socket; thread safe. */
    static boolean hasOutput(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() > 0;
    }

    /** {@inheritDoc} */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mTimeout = new IdleTimeout(mLimitMillis, now());
        schedule(context);
    }

    /** {@inheritDoc} */
    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        mCheck.cancel(false);
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mCheck.cancel(false);
        context.fireChannelInactive();
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mTimeout.recordInput(now());
        context.fireChannelRead(message);
    }

    /** {@inheritDoc} */
    @Override
    public void flush(ChannelHandlerContext context) {
        mTimeout.recordOutput(now());
        context.flush();
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event != Event.CLOSE_IF_IDLE) {
            context.fireUserEventTriggered(event);
        } else if (!mServing.getAsBoolean() && unwrittenBytes(context.channel()) == 0) {
            context.close();
        }
    }

    private void schedule(ChannelHandlerContext context) {
        mCheck =
                context.executor()
                        .schedule(
                                () -> check(context),
                                mTimeout.nextCheckMillis(now()),
                                TimeUnit.MILLISECONDS);
    }

    private void check(ChannelHandlerContext context) {
        long unwritten = unwrittenBytes(context.channel());
        if (mTimeout.isExpired(now(), mServing.getAsBoolean(), unwritten)) {
            context.close();
        } else {
            schedule(context);
        }
    }

    /** Returns the output that the socket does not take at this moment, bytes. */
    private static long unwrittenBytes(Channel channel) {
        if (hasOutput(channel) && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            // The selector reports a socket as writable only once a third of its buffer is free,
            // which takes a slow reader longer than a short limit, or than the rest of a stop.
            unsafe.forceFlush();
        }
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
