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

/** Encodes and decodes peer messages as MessagePack. Stateless and thread safe. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {

    /** Never reconfigured after construction, and so thread safe. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * Messages without fields and their encodings. Two per second arrive on each connection;
     * encoding them each time took 7 % of the work of a router with little traffic.
     */
    private static final List<FieldlessMessage> FIELDLESS_MESSAGES =
            List.of(
                    FieldlessMessage.of(new PeerMessage.Heard()),
                    FieldlessMessage.of(new PeerMessage.LoadAsked()));

    /**
     * A message without fields.
     *
     * @param bytes its encoding; must not be modified
     */
    private record FieldlessMessage(PeerMessage message, byte[] bytes) {

        static FieldlessMessage of(PeerMessage message) {
            try {
                return new FieldlessMessage(message, MAPPER.writeValueAsBytes(message));
            } catch (JsonProcessingException exception) {
                throw new IllegalStateException("cannot encode " + message, exception);
            }
        }
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerMessage message, List<Object> out)
            throws IOException {
        out.add(Unpooled.wrappedBuffer(encode(message)));
    }

    /**
     * Encodes a message, so that the bytes can be sent on several connections.
     *
     * @return the encoding; must not be modified
     * @throws JsonProcessingException if the message cannot be encoded
     */
    static byte[] encode(PeerMessage message) throws JsonProcessingException {
        for (FieldlessMessage fieldless : FIELDLESS_MESSAGES) {
            if (fieldless.message().getClass() == message.getClass()) {
                return fieldless.bytes();
            }
        }
        return MAPPER.writeValueAsBytes(message);
    }

    /** Returns the message without fields that a frame contains, or empty for any other message. */
    private static Optional<PeerMessage> matchFieldless(ByteBuf frame) {
        for (FieldlessMessage fieldless : FIELDLESS_MESSAGES) {
            boolean same = frame.readableBytes() == fieldless.bytes().length;
            if (same && ByteBufUtil.equals(frame, Unpooled.wrappedBuffer(fieldless.bytes()))) {
                return Optional.of(fieldless.message());
            }
        }
        return Optional.empty();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
            throws IOException {
        Optional<PeerMessage> fieldless = matchFieldless(frame);
        if (fieldless.isPresent()) {
            out.add(fieldless.get());
            return;
        }
        try (InputStream stream = new ByteBufInputStream(frame)) {
            out.add(MAPPER.readValue(stream, PeerMessage.class));
        }
    }
}
