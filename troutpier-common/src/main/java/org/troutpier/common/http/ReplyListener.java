package org.troutpier.common.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives a response as it arrives, on one of the client's event loops. After {@link #onEnd()} or
 * {@link #onFailure(CallFailedException)} no method is called.
 */
public interface ReplyListener {

    /** Receives the status and the headers. */
    void onHead(int status, HttpHeaders headers);

    /**
     * Receives a part of the body.
     *
     * @param part the bytes, owned by the listener
     */
    void onPart(byte[] part);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the exchange fails before the response is complete.
     *
     * @param failure why, and whether any byte of the request may have been sent
     */
    void onFailure(CallFailedException failure);
}
