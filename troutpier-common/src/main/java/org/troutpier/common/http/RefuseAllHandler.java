package org.troutpier.common.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.troutpier.common.result.ResultCode;

/** Refuses all requests on a connection. Confined to the connection's event loop. */
final class RefuseAllHandler extends ChannelInboundHandlerAdapter {

    private final ResultCode mCode;

    private final ServerRefusals mRefusals;

    private boolean mRefused;

    /** Creates a handler. */
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
