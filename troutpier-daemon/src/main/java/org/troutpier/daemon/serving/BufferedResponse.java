package org.troutpier.daemon.serving;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;

/**
 * A response whose body is buffered until it is complete. Confined to the traffic loop. {@link
 * #append} reports when the body exceeds {@link #MAX_BYTES}.
 */
final class BufferedResponse {

    /**
     * The largest body that is buffered, bytes; a larger one counts as a failure of the upstream.
     */
    static final int MAX_BYTES = 16 * 1024 * 1024;

    private final UpstreamPort.Head mHead;

    /** Grows by blocks, so that it takes little more memory than it holds and is not copied. */
    private final ByteArrayBuilder mBody = new ByteArrayBuilder();

    BufferedResponse(UpstreamPort.Head head) {
        mHead = head;
    }

    /**
     * Appends a part of the body.
     *
     * @return whether the body is still within its limit
     */
    boolean append(byte[] part) {
        mBody.write(part);
        return mBody.size() <= MAX_BYTES;
    }

    /** Returns the head of the response. */
    UpstreamPort.Head head() {
        return mHead;
    }

    /** Sends the response to a caller. */
    void sendTo(CallerChannel caller) {
        caller.sendResponse(mHead.status(), mHead.headers(), mBody.toByteArray());
    }
}
