package org.troutpier.common.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Passes complete requests to the handler, one at a time per connection. Confined to the
 * connection's event loop. Invariant: the connection of a client that sends a second request before
 * the first is answered is closed, so that a response is never matched to the wrong request. A
 * request after the last response of a connection is not handled.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final Logger LOGGER = LogManager.getLogger(ExchangeHandler.class);

    /** Delay of a task that must not run before the event loop's next iteration, milliseconds. */
    private static final long NEXT_ITERATION_MILLIS = 1;

    private final HttpHandler mHandler;

    private final RequestTimeoutHandler mTimer;

    private final ServerRefusals mRefusals;

    /** Counts the exchanges whose response is not yet completely written. */
    private final AtomicInteger mActiveExchanges;

    /** Whether the server is draining: each connection is then closed after its response. */
    private final BooleanSupplier mDraining;

    /**
     * Whether requests may have waited in the socket's backlog since before the server accepted
     * connections.
     */
    private final BooleanSupplier mBacklog;

    /** The exchange being served, or null. */
    private HttpExchange mExchange;

    /**
     * Creates a handler.
     *
     * @param draining whether each connection is closed after its response
     * @param backlog whether requests may have waited in the socket's backlog
     */
    ExchangeHandler(
            HttpHandler handler,
            RequestTimeoutHandler timer,
            ServerRefusals refusals,
            AtomicInteger activeExchanges,
            BooleanSupplier draining,
            BooleanSupplier backlog) {
        mHandler = handler;
        mTimer = timer;
        mRefusals = refusals;
        mActiveExchanges = activeExchanges;
        mDraining = draining;
        mBacklog = backlog;
        timer.setServingCheck(this::isServing);
    }

    /**
     * Returns whether a request is being served.
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
        if (mExchange != null && mExchange.isLastOfConnection()) {
            return;
        }
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
                        mActiveExchanges::decrementAndGet);
        mActiveExchanges.incrementAndGet();
        HttpExchange exchange = mExchange;
        if (mBacklog.getAsBoolean()) {
            runAfterNextPoll(context, () -> runAfterNextPoll(context, () -> handle(exchange)));
        } else {
            handle(exchange);
        }
    }

    /**
     * Runs a task after the event loop has polled its connections once more. A task that is
     * scheduled during a poll may run in the same iteration; one that is scheduled by such a task
     * runs in the next.
     */
    private static void runAfterNextPoll(ChannelHandlerContext context, Runnable task) {
        context.executor().schedule(task, NEXT_ITERATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Passes a request to the handler unless its client has disconnected. */
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
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
