package org.troutpier.common.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.troutpier.common.result.ResultCode;

/** Refuses a request and closes its connection. Stateless and thread safe. */
final class RefusalWriter {

    private RefusalWriter() {}

    /** Refuses with the code's own meaning. */
    static void refuseAndClose(Channel channel, ServerRefusals refusals, ResultCode code) {
        refuseAndClose(channel, refusals.refuse(code));
    }

    /** Sends a response and closes. */
    static void refuseAndClose(Channel channel, FullHttpResponse answer) {
        HttpUtil.setKeepAlive(answer, false);
        channel.config().setAutoRead(false);
        channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }
}
