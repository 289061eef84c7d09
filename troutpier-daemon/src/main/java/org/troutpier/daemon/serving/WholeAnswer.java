package org.troutpier.daemon.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/** Gathers an answer's body. Confined to the traffic loop. Invariant: bounded by {@link #MOST}. */
final class WholeAnswer {

    /** The largest body that is gathered, bytes; larger ones are told as failed. */
    static final int MOST = 16 * 1024 * 1024;

    /** The head. */
    private final UpstreamPort.Head mHead;

    /** The body so far. */
    private final ByteBuf mBody = Unpooled.buffer();

    /**
     * Begins an answer.
     *
     * @param head the head
     */
    WholeAnswer(UpstreamPort.Head head) {
        mHead = head;
    }

    /**
     * Adds a part.
     *
     * @param part the bytes
     * @return whether the body is still within its bound
     */
    boolean add(byte[] part) {
        mBody.writeBytes(part);
        return mBody.readableBytes() <= MOST;
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
        caller.answer(mHead.status(), mHead.headers(), ByteBufUtil.getBytes(mBody));
    }
}
