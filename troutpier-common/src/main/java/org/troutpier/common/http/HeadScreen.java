package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Lets the handler refuse a request by its head, before the body is stored. Confined to the
 * connection's event loop.
 */
final class HeadScreen extends ChannelInboundHandlerAdapter {

    /** Looks at the heads. */
    private final HttpHandler mHandler;

    /** Makes the answers to what cannot be read. */
    private final ServerRefusals mRefusals;

    /** Whether the request was refused and the rest is thrown away. */
    private boolean mRefused;

    /**
     * Creates a screen.
     *
     * @param handler looks at the heads
     * @param refusals makes the answers to what cannot be read
     */
    HeadScreen(HttpHandler handler, ServerRefusals refusals) {
        mHandler = handler;
        mRefusals = refusals;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mRefused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest head) {
            if (head.decoderResult().isFailure()) {
                mRefused = true;
                ReferenceCountUtil.release(message);
                Refusing.refuseAndClose(context.channel(), mRefusals, unreadable(head));
                return;
            }
            Optional<TroutpierException> refusal = mHandler.screen(head);
            if (refusal.isPresent()) {
                mRefused = true;
                ReferenceCountUtil.release(message);
                TroutpierException why = refusal.get();
                Refusing.refuseAndClose(
                        context.channel(), Answers.refusal(why.code(), why.detail()));
                return;
            }
        }
        context.fireChannelRead(message);
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
