package org.troutpier.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DelimiterBasedFrameDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Cuts a stream of server-sent events into single events with Netty's frame decoder. Confined to
 * one event loop.
 */
public final class ServerSentEventSplitter extends DelimiterBasedFrameDecoder {

    /** The longest event, bytes. */
    private static final int LONGEST = 65_536;

    /** What ends an event. */
    private static final byte[] END = "\n\n".getBytes(StandardCharsets.US_ASCII);

    /** What has arrived and is not yet cut. */
    private final ByteBuf mArrived = Unpooled.buffer();

    /** Creates an empty cutter. */
    public ServerSentEventSplitter() {
        super(LONGEST, false, false, Unpooled.wrappedBuffer(END));
    }

    /**
     * Takes bytes and hands on each whole event.
     *
     * @param bytes the bytes
     * @param taker takes each event, with the blank line that ends it
     */
    public void feed(byte[] bytes, Consumer<byte[]> taker) {
        mArrived.writeBytes(bytes);
        try {
            while (decode(null, mArrived) instanceof ByteBuf event) {
                byte[] copy = new byte[event.readableBytes()];
                event.readBytes(copy);
                event.release();
                taker.accept(copy);
            }
        } catch (TroutpierException exception) {
            throw exception;
        } catch (Exception exception) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED, "the event stream cannot be cut", exception);
        }
        mArrived.discardReadBytes();
    }

    /**
     * Returns whether bytes have arrived that are not yet a whole event.
     *
     * @return whether an end now would be in the middle of an event
     */
    public boolean hasPartialEvent() {
        return mArrived.isReadable();
    }
}
