package org.troutpier.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DelimiterBasedFrameDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Splits a stream of server-sent events into single events with Netty's frame decoder. Confined to
 * one event loop.
 */
public final class ServerSentEventSplitter extends DelimiterBasedFrameDecoder {

    /** The longest event, bytes. */
    static final int MAX_EVENT_BYTES = 65_536;

    private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.US_ASCII);

    /** Received bytes that are not yet a complete event. */
    private final ByteBuf mBuffer = Unpooled.buffer();

    /** Creates a splitter without buffered bytes. */
    public ServerSentEventSplitter() {
        super(MAX_EVENT_BYTES, false, true, Unpooled.wrappedBuffer(EVENT_END));
    }

    /**
     * Adds received bytes and passes on each event that is complete.
     *
     * @param bytes the received bytes
     * @param consumer receives each event, including the blank line that ends it
     * @throws TroutpierException once an event is longer than {@link #MAX_EVENT_BYTES}, whether or
     *     not it has an end; the splitter must not be used further
     */
    public void feed(byte[] bytes, Consumer<byte[]> consumer) {
        mBuffer.writeBytes(bytes);
        try {
            while (decode(null, mBuffer) instanceof ByteBuf event) {
                byte[] copy = new byte[event.readableBytes()];
                event.readBytes(copy);
                event.release();
                consumer.accept(copy);
            }
        } catch (TroutpierException exception) {
            throw exception;
        } catch (Exception exception) {
            throw new TroutpierException(
                    ResultCode.UPSTREAM_FAILED, "the event stream cannot be cut", exception);
        }
        mBuffer.discardReadBytes();
    }

    /** Returns whether the received bytes end in the middle of an event. */
    public boolean hasPartialEvent() {
        return mBuffer.isReadable();
    }
}
