package org.troutpier.common.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
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

    /** Serves the requests. */
    private final HttpHandler mHandler;

    /** Bounds the arrival of requests. */
    private final ArrivalTimer mTimer;

    /** Makes the answers to what cannot be read. */
    private final ServerRefusals mRefusals;

    /** Counts the exchanges whose last byte has not left. */
    private final AtomicInteger mBusy;

    /** Tells whether each answer is the last one of its connection. */
    private final BooleanSupplier mDraining;

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
     */
    ExchangeHandler(
            HttpHandler handler,
            ArrivalTimer timer,
            ServerRefusals refusals,
            AtomicInteger busy,
            BooleanSupplier draining) {
        mHandler = handler;
        mTimer = timer;
        mRefusals = refusals;
        mBusy = busy;
        mDraining = draining;
        timer.serving(() -> mExchange != null && !mExchange.over());
    }

    /** {@inheritDoc} */
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (mExchange != null && !mExchange.over()) {
            mExchange.gone();
            context.close();
            return;
        }
        mTimer.stop();
        if (request.decoderResult().isFailure()) {
            Refusing.refuseAndClose(context.channel(), mRefusals, ResultCode.MALFORMED_REQUEST);
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
        try {
            mHandler.handle(mExchange);
        } catch (TroutpierException exception) {
            mExchange.answer(Answers.refusal(exception.code(), exception.detail()));
        } catch (RuntimeException exception) {
            LOGGER.error("handler failed", exception);
            mExchange.answer(Answers.refusal(ResultCode.INTERNAL, "see the router's log"));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null && context.channel().isWritable()) {
            mExchange.becameWritable();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.gone();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean idle = mExchange == null || mExchange.over();
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
