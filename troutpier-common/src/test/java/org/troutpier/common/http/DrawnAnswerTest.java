package org.troutpier.common.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import org.troutpier.testing.DrawnAnswer;

/** Answers that are drawn from the grammar and arrive in drawn parts, at the client's handlers. */
public final class DrawnAnswerTest {

    private static final int SEED = 7;

    private static final int ANSWERS = 20_000;

    /** Passes an answer in drawn parts to the handlers of a connection on which one is due. */
    private static EmbeddedChannel receive(Random random, DrawnAnswer answer) {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.pipeline().addLast("codec", new HttpClientCodec());
        ResponseLimiter.install(channel, "codec");
        channel.writeOutbound(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
        byte[] bytes = answer.text().getBytes(StandardCharsets.ISO_8859_1);
        for (int index = 0; index < bytes.length; ) {
            int length = 1 + random.nextInt(bytes.length - index);
            channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(bytes, index, length));
            index += length;
        }
        return channel;
    }

    @Test
    public void whatIsPassedOnIsWhatWasSentOrNothing() {
        Random random = new Random(SEED);
        for (int count = 0; count < ANSWERS; count++) {
            DrawnAnswer answer = DrawnAnswer.draw(random, Map.of(), count % 2 == 0);
            EmbeddedChannel channel = receive(random, answer);
            String what = count + " " + answer.broken() + ": " + answer.text();
            if (answer.broken().isEmpty()) {
                assertPassed(channel, answer, what);
            } else {
                assertRejected(channel, what);
            }
            channel.finishAndReleaseAll();
        }
    }

    private static void assertPassed(EmbeddedChannel channel, DrawnAnswer answer, String what) {
        HttpResponse head = channel.readInbound();
        assertTrue(head.decoderResult().isSuccess(), what);
        assertEquals(head.status().code(), answer.status(), what);
        HttpHeaders fields = head.headers();
        fields.remove("Content-Length").remove("Transfer-Encoding");
        assertEquals(fields.size(), answer.fields().size(), what);
        answer.fields().forEach((name, value) -> assertEquals(fields.get(name), value, what));
        StringBuilder body = new StringBuilder();
        HttpContent part;
        do {
            part = channel.readInbound();
            body.append(part.content().toString(StandardCharsets.ISO_8859_1));
            part.release();
        } while (!(part instanceof LastHttpContent));
        assertEquals(body.toString(), answer.body(), what);
        channel.checkException();
    }

    private static void assertRejected(EmbeddedChannel channel, String what) {
        boolean complete = false;
        for (Object message = channel.readInbound();
                message != null;
                message = channel.readInbound()) {
            complete |= message instanceof LastHttpContent;
            ReferenceCountUtil.release(message);
        }
        assertTrue(!complete, what);
        try {
            channel.checkException();
        } catch (MalformedResponseException expected) {
            return;
        }
        throw new AssertionError("not rejected: " + what);
    }
}
