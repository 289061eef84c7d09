package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.troutpier.common.result.ResultCode;

/** Refuses whatever arrives on a connection. Confined to the connection's event loop. */
final class RefuseAllHandler extends ChannelInboundHandlerAdapter {

    /** Why everything is refused. */
    private final ResultCode mCode;

    /** Makes the answer. */
    private final ServerRefusals mRefusals;

    /** Whether the answer was sent. */
    private boolean mRefused;

    /**
     * Creates a handler.
     *
     * @param code why everything is refused
     * @param refusals makes the answer
     */
    RefuseAllHandler(ResultCode code, ServerRefusals refusals) {
        mCode = code;
        mRefusals = refusals;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
        if (!mRefused) {
            mRefused = true;
            RefusalWriter.refuseAndClose(context.channel(), mRefusals, mCode);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
