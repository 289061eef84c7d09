package org.troutpier.daemon.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Gathers an answer's body. Confined to the traffic loop. Invariant: bounded by {@link #MAX_BYTES}.
 */
final class BufferedResponse {

    /** The largest body that is gathered, bytes; larger ones are told as failed. */
    static final int MAX_BYTES = 16 * 1024 * 1024;

    /** The head. */
    private final UpstreamPort.Head mHead;

    /** The body so far. */
    private final ByteBuf mBody = Unpooled.buffer();

    /**
     * Begins an answer.
     *
     * @param head the head
     */
    BufferedResponse(UpstreamPort.Head head) {
        mHead = head;
    }

    /**
     * Adds a part.
     *
     * @param part the bytes
     * @return whether the body is still within its bound
     */
    boolean append(byte[] part) {
        mBody.writeBytes(part);
        return mBody.readableBytes() <= MAX_BYTES;
    }

    /**
     * Returns the head.
     *
     * @return the head
     */
    UpstreamPort.Head head() {
        return mHead;
    }

    /**
     * Hands the answer to a caller.
     *
     * @param caller the caller
     */
    void sendTo(CallerChannel caller) {
        caller.sendResponse(mHead.status(), mHead.headers(), ByteBufUtil.getBytes(mBody));
    }
}
