package org.troutpier.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.troutpier.common.http.HttpHandler;
import org.troutpier.common.http.HttpServer;
import org.troutpier.common.http.ServerLimits;
import org.troutpier.common.http.ServerRefusals;
import org.troutpier.common.settings.Address;

/** A router stand-in that passes the tool's requests to a handler. */
final class RouterStandin implements AutoCloseable {

    private final EventLoopGroup mLoop = new NioEventLoopGroup(1);
    private final HttpServer mServer;

    RouterStandin(HttpHandler handler) {
        mServer =
                new HttpServer(
                        new Address("127.0.0.1", 0),
                        mLoop,
                        ServerLimits.DEFAULT,
                        ServerRefusals.AsJson.INSTANCE,
                        handler);
    }

    /** Returns its address in the format of the tool's options. */
    String address() {
        return mServer.address().toString();
    }

    @Override
    public void close() {
        mServer.close();
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
