package org.troutpier.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the end of forwarded connections whose router reads slowly. */
public final class ForwardedConnectionTest {

    private static final int BYTES = 1000;

    private Socket mSocket;

    private EmbeddedChannel mRouter;

    private EmbeddedChannel mUpstream;

    /** A socket that accepts no bytes until it is opened. Confined to one thread. */
    private static final class Socket extends ChannelOutboundHandlerAdapter {

        private final Queue<Runnable> mWaiting = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mWaiting.add(() -> context.writeAndFlush(message, promise));
        }

        void takeAll() {
            while (!mWaiting.isEmpty()) {
                mWaiting.remove().run();
            }
        }
    }

    @BeforeMethod
    void join() {
        mSocket = new Socket();
        mRouter = new EmbeddedChannel(mSocket);
        mUpstream = new EmbeddedChannel();
        ForwardedConnection.join(mRouter, mUpstream, new Counter());
        mUpstream.writeInbound(Unpooled.wrappedBuffer(new byte[BYTES]));
    }

    private int takenBytes() {
        int taken = 0;
        for (ByteBuf each = mRouter.readOutbound(); each != null; each = mRouter.readOutbound()) {
            taken += each.readableBytes();
            each.release();
        }
        return taken;
    }

    @Test
    public void whatAnUpstreamSentBeforeItsResetIsPassedOn() {
        mUpstream.pipeline().fireExceptionCaught(new IOException("reset"));
        assertTrue(mRouter.isOpen(), "the router has not read everything");
        mSocket.takeAll();
        assertEquals(takenBytes(), PeerFraming.LENGTH_FIELD_BYTES + BYTES);
        assertFalse(mRouter.isOpen());
    }

    @Test
    public void whatAnUpstreamSentBeforeItsEndIsPassedOnWithTheEnd() {
        mUpstream.close();
        assertTrue(mRouter.isOpen(), "the router has not read everything");
        mSocket.takeAll();
        assertEquals(takenBytes(), 2 * PeerFraming.LENGTH_FIELD_BYTES + BYTES);
        assertFalse(mRouter.isOpen());
        assertNull(mRouter.readInbound());
    }
}
