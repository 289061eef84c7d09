package org.troutpier.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;

/**
 * Collects a complete response. Confined to the exchange's event loop until it completes.
 * Invariant: it buffers no more than the largest body and the part that exceeds it.
 */
final class ReplyCollector implements ReplyListener {

    private final CompletableFuture<HttpReply> mReply = new CompletableFuture<>();

    /** Largest body, bytes. */
    private final int mMaxBodyBytes;

    private final ByteBuf mBody = Unpooled.buffer();

    private int mStatus;

    private HttpHeaders mHeaders;

    /**
     * Creates a collector.
     *
     * @param maxBodyBytes the largest body; a larger one fails the reply
     */
    ReplyCollector(int maxBodyBytes) {
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Returns the response; whoever completes it otherwise aborts the exchange. */
    CompletableFuture<HttpReply> reply() {
        return mReply;
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(int status, HttpHeaders headers) {
        mStatus = status;
        mHeaders = headers;
    }

    /** {@inheritDoc} */
    @Override
    public void onPart(byte[] part) {
        if (mReply.isDone()) {
            return;
        }
        if (part.length > mMaxBodyBytes - mBody.readableBytes()) {
            String detail = "the body is longer than " + mMaxBodyBytes + " bytes";
            onFailure(new CallFailedException(true, new TooLongFrameException(detail)));
            return;
        }
        mBody.writeBytes(part);
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        mReply.complete(new HttpReply(mStatus, mHeaders, ByteBufUtil.getBytes(mBody)));
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(CallFailedException failure) {
        mReply.completeExceptionally(failure);
    }
}
