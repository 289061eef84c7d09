package org.troutpier.daemon.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes peer messages as MessagePack. Stateless and thread safe. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {

    /** Creates the mapper for rare messages when the first of them is sent or received. */
    private static final class RareMessages {

        /** Never reconfigured after construction, and so thread safe. */
        private static final ObjectMapper MAPPER =
                new ObjectMapper(new MessagePackFactory())
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
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
     * @throws IOException if the message cannot be encoded
     */
    static byte[] encode(PeerMessage message) throws IOException {
        byte[] frame = FrequentMessageCodec.encode(message);
        return frame == null ? RareMessages.MAPPER.writeValueAsBytes(message) : frame;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
            throws IOException {
        out.add(decode(ByteBufUtil.getBytes(frame)));
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the frame contains no message
     */
    static PeerMessage decode(byte[] frame) throws IOException {
        PeerMessage message = FrequentMessageCodec.decode(frame);
        return message == null ? RareMessages.MAPPER.readValue(frame, PeerMessage.class) : message;
    }
}
