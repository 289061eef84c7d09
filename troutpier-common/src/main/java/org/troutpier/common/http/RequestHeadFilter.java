package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
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
 * Lets the handler refuse a request by its head, before its body is buffered. Confined to the
 * connection's event loop. Invariant: a head is refused only while no earlier request of the
 * connection is being served, so that responses keep their order.
 */
final class RequestHeadFilter extends ChannelInboundHandlerAdapter {

    /**
     * Refusals after which the connection is kept: they concern the credentials, and the next
     * request may carry other ones.
     */
    private static final Set<ResultCode> KEEP_CONNECTION_CODES =
            Set.of(ResultCode.UNKNOWN_TOKEN, ResultCode.KEYS_UNCONFIRMED);

    private final HttpHandler mHandler;

    private final ServerRefusals mRefusals;

    private final RequestTimeoutHandler mTimer;

    /** The largest request body that is read and discarded after a refusal, bytes. */
    private final int mMaxBodyBytes;

    /** Whether the server is draining: each connection is then closed after its response. */
    private final BooleanSupplier mDraining;

    private final BooleanSupplier mServing;

    /** Whether the connection is being closed; whatever still arrives is discarded. */
    private boolean mClosing;

    /** Whether the rest of a refused request is being discarded. */
    private boolean mDiscarding;

    /**
     * Creates a filter.
     *
     * @param bodyBytes the largest request body that is read and discarded after a refusal, bytes
     * @param draining whether each connection is closed after its response
     * @param serving whether an earlier request is being served
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
        mMaxBodyBytes = bodyBytes;
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
                RefusalWriter.refuseAndClose(context.channel(), mRefusals, decodingErrorCode(head));
                return;
            }
            if (hidesEndOfBody(head)) {
                mClosing = true;
                ReferenceCountUtil.release(message);
                RefusalWriter.refuseAndClose(
                        context.channel(), mRefusals, ResultCode.MALFORMED_REQUEST);
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

    private void discard(Object message) {
        if (message instanceof LastHttpContent && !mClosing) {
            mDiscarding = false;
            mTimer.stop();
        }
        ReferenceCountUtil.release(message);
    }

    /** Refuses a request before its body is read. */
    private void refuse(
            ChannelHandlerContext context, HttpRequest head, TroutpierException refusal) {
        FullHttpResponse answer = HttpResponses.refusal(refusal.code(), refusal.detail());
        if (!keepsConnection(head, refusal.code())) {
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
     * Returns whether the connection stays open after a refusal. A client that waits for 100
     * Continue may never send its body, and its next request would then be taken for the body.
     *
     * @return whether the rest of the request is read and discarded
     */
    private boolean keepsConnection(HttpRequest head, ResultCode code) {
        return KEEP_CONNECTION_CODES.contains(code)
                && HttpUtil.isKeepAlive(head)
                && !HttpUtil.is100ContinueExpected(head)
                && HttpUtil.getContentLength(head, 0L) <= mMaxBodyBytes
                && !mDraining.getAsBoolean();
    }

    /**
     * Returns whether a request has a transfer coding other than chunked. The codec would take the
     * request for one without a body, and its body for the next request.
     */
    private static boolean hidesEndOfBody(HttpRequest head) {
        return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }

    private static ResultCode decodingErrorCode(HttpRequest head) {
        Throwable cause = head.decoderResult().cause();
        boolean tooLarge =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        return tooLarge ? ResultCode.HEAD_TOO_LARGE : ResultCode.MALFORMED_REQUEST;
    }
}
