package org.troutpier.common.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Hands whole requests to the handler, one at a time per connection. Confined to the connection's
 * event loop. Invariant: a caller that sends a second request before the first is answered is cut,
 * so answers can never be told apart wrongly.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Logs faults in handlers. */
    private static final Logger LOGGER = LogManager.getLogger(ExchangeHandler.class);

    /** After how long a task is due in the event loop's next round at the soonest, milliseconds. */
    private static final long ROUND_MILLIS = 1;

    /** Serves the requests. */
    private final HttpHandler mHandler;

    /** Bounds the arrival of requests. */
    private final RequestTimeoutHandler mTimer;

    /** Makes the answers to what cannot be read. */
    private final ServerRefusals mRefusals;

    /** Counts the exchanges whose last byte has not left. */
    private final AtomicInteger mBusy;

    /** Tells whether each answer is the last one of its connection. */
    private final BooleanSupplier mDraining;

    /** Tells whether requests may have waited in the system's queue since before the start. */
    private final BooleanSupplier mBacklog;

    /** The exchange being served, or null. */
    private HttpExchange mExchange;

    /**
     * Creates a handler.
     *
     * @param handler serves the requests
     * @param timer bounds the arrival of requests
     * @param refusals makes the answers to what cannot be read
     * @param busy counts the exchanges whose last byte has not left
     * @param draining tells whether each answer is the last one of its connection
     * @param backlog tells whether requests may have waited since before the start
     */
    ExchangeHandler(
            HttpHandler handler,
            RequestTimeoutHandler timer,
            ServerRefusals refusals,
            AtomicInteger busy,
            BooleanSupplier draining,
            BooleanSupplier backlog) {
        mHandler = handler;
        mTimer = timer;
        mRefusals = refusals;
        mBusy = busy;
        mDraining = draining;
        mBacklog = backlog;
        timer.setServingCheck(this::isServing);
    }

    /**
     * Returns whether a request waits for its answer.
     *
     * @return whether an exchange is being served
     */
    boolean isServing() {
        return mExchange != null && !mExchange.isOver();
    }

    /** {@inheritDoc} */
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (isServing()) {
            mExchange.handleClose();
            context.close();
            return;
        }
        mTimer.stop();
        if (request.decoderResult().isFailure()) {
            RefusalWriter.refuseAndClose(
                    context.channel(), mRefusals, ResultCode.MALFORMED_REQUEST);
            return;
        }
        mExchange =
                new HttpExchange(
                        context.channel(),
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        HttpUtil.isKeepAlive(request),
                        mDraining,
                        mBusy::decrementAndGet);
        mBusy.incrementAndGet();
        HttpExchange exchange = mExchange;
        if (mBacklog.getAsBoolean()) {
            afterNextRead(context, () -> afterNextRead(context, () -> handle(exchange)));
        } else {
            handle(exchange);
        }
    }

    /**
     * Runs a task after the event loop has read its connections once more. What is scheduled while
     * it reads may come due in the same round; what is scheduled by such a task comes due in the
     * next.
     *
     * @param context the connection
     * @param task the task
     */
    private static void afterNextRead(ChannelHandlerContext context, Runnable task) {
        context.executor().schedule(task, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Has a request served, unless its caller has left.
     *
     * @param exchange the request
     */
    private void handle(HttpExchange exchange) {
        if (exchange.isOver()) {
            return;
        }
        try {
            mHandler.handle(exchange);
        } catch (TroutpierException exception) {
            exchange.answer(HttpResponses.refusal(exception.code(), exception.detail()));
        } catch (RuntimeException exception) {
            LOGGER.error("handler failed", exception);
            exchange.answer(HttpResponses.refusal(ResultCode.INTERNAL, "see the router's log"));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null && context.channel().isWritable()) {
            mExchange.handleWritable();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.handleClose();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean idle = !isServing();
        boolean asked = event instanceof IdleStateEvent || event == HttpServer.Idle.CLOSE;
        if (asked && idle) {
            context.close();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
