package org.troutpier.common.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives an answer as it arrives, on one of the client's event loops. After {@link #onEnd()} or
 * {@link #onFailure(CallFailedException)} nothing more is said.
 */
public interface ReplyListener {

    /**
     * Receives the status and the headers.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * Receives a part of the body.
     *
     * @param part the bytes, owned by the listener
     */
    void onPart(byte[] part);

    /** Called when the answer is whole. */
    void onEnd();

    /**
     * Called when there will be no whole answer.
     *
     * @param failure why, and whether any byte may have left
     */
    void onFailure(CallFailedException failure);
}
