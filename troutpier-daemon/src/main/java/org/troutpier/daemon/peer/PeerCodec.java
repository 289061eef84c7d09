package org.troutpier.daemon.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Turns peer messages into MessagePack and back. Thread safe: it keeps no state. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {

    /** The mapper; it is never changed after construction. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * Messages without fields, as they are sent. Two a second come on each connection; encoded
     * anew, they were 7 % of the work of a router that serves little.
     */
    private static final List<Constant> CONSTANTS =
            List.of(Constant.of(new PeerMessage.Heard()), Constant.of(new PeerMessage.LoadAsked()));

    /**
     * A message without fields.
     *
     * @param message the message
     * @param bytes its encoding; never changed
     */
    private record Constant(PeerMessage message, byte[] bytes) {

        /**
         * Encodes a message.
         *
         * @param message the message
         * @return the message and its encoding
         */
        static Constant of(PeerMessage message) {
            try {
                return new Constant(message, MAPPER.writeValueAsBytes(message));
            } catch (JsonProcessingException exception) {
                throw new IllegalStateException("no encoding for " + message, exception);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void encode(ChannelHandlerContext context, PeerMessage message, List<Object> out)
            throws IOException {
        out.add(Unpooled.wrappedBuffer(bytes(message)));
    }

    /**
     * Encodes a message, so that it can be sent on several connections.
     *
     * @param message the message
     * @return its bytes
     * @throws JsonProcessingException when it has no encoding
     */
    static byte[] bytes(PeerMessage message) throws JsonProcessingException {
        for (Constant constant : CONSTANTS) {
            if (constant.message().getClass() == message.getClass()) {
                return constant.bytes();
            }
        }
        return MAPPER.writeValueAsBytes(message);
    }

    /**
     * Returns the message without fields that a frame holds.
     *
     * @param frame the frame
     * @return the message, or empty for any other
     */
    private static Optional<PeerMessage> constant(ByteBuf frame) {
        for (Constant constant : CONSTANTS) {
            boolean same = frame.readableBytes() == constant.bytes().length;
            if (same && ByteBufUtil.equals(frame, Unpooled.wrappedBuffer(constant.bytes()))) {
                return Optional.of(constant.message());
            }
        }
        return Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
            throws IOException {
        Optional<PeerMessage> constant = constant(frame);
        if (constant.isPresent()) {
            out.add(constant.get());
            return;
        }
        try (InputStream stream = new ByteBufInputStream(frame)) {
            out.add(MAPPER.readValue(stream, PeerMessage.class));
        }
    }
}
