package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Lets the handler refuse a request by its head, before the body is stored. Confined to the
 * connection's event loop. Invariant: a head is refused only where no earlier request of the
 * connection waits for its answer, so answers keep their order.
 */
final class RequestHeadFilter extends ChannelInboundHandlerAdapter {

    /**
     * Refusals after which the connection stays: they concern who asks, and the next request may
     * come with another key.
     */
    private static final Set<ResultCode> STAYING =
            Set.of(ResultCode.UNKNOWN_TOKEN, ResultCode.KEYS_UNCONFIRMED);

    /** Looks at the heads. */
    private final HttpHandler mHandler;

    /** Makes the answers to what cannot be read. */
    private final ServerRefusals mRefusals;

    /** Bounds the arrival of requests. */
    private final RequestTimeoutHandler mTimer;

    /** The longest body that is read only to be thrown away, bytes. */
    private final int mBodyBytes;

    /** Tells whether each answer is the last one of its connection. */
    private final BooleanSupplier mDraining;

    /** Tells whether an earlier request waits for its answer. */
    private final BooleanSupplier mServing;

    /** Whether the connection is being closed and all that comes is thrown away. */
    private boolean mClosing;

    /** Whether the rest of a refused request is thrown away. */
    private boolean mDiscarding;

    /**
     * Creates a screen.
     *
     * @param handler looks at the heads
     * @param refusals makes the answers to what cannot be read
     * @param timer bounds the arrival of requests
     * @param bodyBytes the longest body that is read only to be thrown away, bytes
     * @param draining tells whether each answer is the last one of its connection
     * @param serving tells whether an earlier request waits for its answer
     */
    RequestHeadFilter(
            HttpHandler handler,
            ServerRefusals refusals,
            RequestTimeoutHandler timer,
            int bodyBytes,
            BooleanSupplier draining,
            BooleanSupplier serving) {
        mHandler = handler;
        mRefusals = refusals;
        mTimer = timer;
        mBodyBytes = bodyBytes;
        mDraining = draining;
        mServing = serving;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing || mDiscarding) {
            discard(message);
            return;
        }
        if (message instanceof HttpRequest head) {
            if (head.decoderResult().isFailure()) {
                mClosing = true;
                ReferenceCountUtil.release(message);
                RefusalWriter.refuseAndClose(context.channel(), mRefusals, unreadable(head));
                return;
            }
            Optional<TroutpierException> refusal =
                    mServing.getAsBoolean() ? Optional.empty() : mHandler.screen(head);
            if (refusal.isPresent()) {
                ReferenceCountUtil.release(message);
                refuse(context, head, refusal.get());
                return;
            }
        }
        context.fireChannelRead(message);
    }

    /**
     * Throws a part of a refused request away.
     *
     * @param message the part
     */
    private void discard(Object message) {
        if (message instanceof LastHttpContent && !mClosing) {
            mDiscarding = false;
            mTimer.stop();
        }
        ReferenceCountUtil.release(message);
    }

    /**
     * Refuses a request whose body has not come.
     *
     * @param context the connection
     * @param head the request's head
     * @param why the refusal
     */
    private void refuse(ChannelHandlerContext context, HttpRequest head, TroutpierException why) {
        FullHttpResponse answer = HttpResponses.refusal(why.code(), why.detail());
        if (!stays(head, why.code())) {
            mClosing = true;
            RefusalWriter.refuseAndClose(context.channel(), answer);
            return;
        }
        mDiscarding = true;
        mTimer.markAnswered();
        HttpUtil.setKeepAlive(answer, true);
        context.channel().writeAndFlush(answer);
    }

    /**
     * Returns whether the connection stays open after a refusal. A caller that waits to be told to
     * send its body may never send it, and what it sends next would be taken for the body.
     *
     * @param head the request's head
     * @param code why it is refused
     * @return whether the rest of the request is read and thrown away
     */
    private boolean stays(HttpRequest head, ResultCode code) {
        return STAYING.contains(code)
                && HttpUtil.isKeepAlive(head)
                && !HttpUtil.is100ContinueExpected(head)
                && HttpUtil.getContentLength(head, 0L) <= mBodyBytes
                && !mDraining.getAsBoolean();
    }

    /**
     * Tells why a head cannot be read.
     *
     * @param head the head as far as it was read
     * @return the code for too large a head, or for any other fault
     */
    private static ResultCode unreadable(HttpRequest head) {
        Throwable cause = head.decoderResult().cause();
        boolean tooLarge =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        return tooLarge ? ResultCode.HEAD_TOO_LARGE : ResultCode.MALFORMED_REQUEST;
    }
}
