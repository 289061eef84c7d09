package org.troutpier.daemon.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Turns peer messages into MessagePack and back. Thread safe: it keeps no state. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {

    /** The mapper; it is never changed after construction. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

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
        return MAPPER.writeValueAsBytes(message);
    }

    /** {@inheritDoc} */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
            throws IOException {
        try (InputStream stream = new ByteBufInputStream(frame)) {
            out.add(MAPPER.readValue(stream, PeerMessage.class));
        }
    }
}
