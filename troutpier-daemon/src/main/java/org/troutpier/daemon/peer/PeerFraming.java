package org.troutpier.daemon.peer;

import com.codahale.metrics.Counter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Frames messages on a connection between routers: each is preceded by its length. Stateless and
 * thread safe. Invariant: frames of a peer that has not proved the secret are small.
 */
final class PeerFraming {

    /** Size of the length field, bytes. */
    static final int LENGTH_FIELD_BYTES = 4;

    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** Largest frame before the peer has proved the secret. */
    private static final int MAX_HANDSHAKE_FRAME_BYTES = 4096;

    private static final String DECODER = "frames";

    private static final String ENCODER = "frame-lengths";

    private static final String COUNTER = "frame-bytes";

    private static final String CODEC = "messages";

    private PeerFraming() {}

    /**
     * Adds the handlers in front of all others.
     *
     * @param bytes counts bytes in both directions
     */
    static void addTo(ChannelPipeline pipeline, Counter bytes) {
        pipeline.addFirst(CODEC, new PeerCodec());
        pipeline.addFirst(COUNTER, new ByteCounter(bytes));
        pipeline.addFirst(ENCODER, new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addFirst(DECODER, decoder(MAX_HANDSHAKE_FRAME_BYTES));
    }

    /** Allows large frames, on a connection whose peer has proved the secret. */
    static void raiseLimit(ChannelPipeline pipeline) {
        pipeline.replace(DECODER, DECODER, decoder(MAX_FRAME_BYTES));
    }

    /**
     * Keeps the frames of received bytes, which are no longer messages; sent ones have none. The
     * decoder is replaced last, since it then passes on the frames that it has already received.
     */
    static void receiveFramesOnly(ChannelPipeline pipeline) {
        pipeline.remove(ENCODER);
        pipeline.remove(COUNTER);
        pipeline.remove(CODEC);
        raiseLimit(pipeline);
    }

    /** Removes the handlers. */
    static void removeFrom(ChannelPipeline pipeline) {
        pipeline.remove(CODEC);
        pipeline.remove(COUNTER);
        pipeline.remove(ENCODER);
        pipeline.remove(DECODER);
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
    }
}
