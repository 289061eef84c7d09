package org.troutpier.standins.load;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.troutpier.common.http.CallFailedException;
import org.troutpier.common.http.ReplyListener;

/**
 * Collects an answer, including one that is cut off. Thread safe: written by an event loop, read by
 * waiting threads.
 */
public final class GatheredAnswer implements ReplyListener {

    /** Completes when no more data is expected. */
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();

    private final StringBuffer mBody = new StringBuffer();

    /** The status; 0 until the head has arrived. */
    private volatile int mStatus;

    /** The headers; null until the head has arrived. */
    private volatile HttpHeaders mHeaders;

    /** Whether the HTTP response was complete. */
    private volatile boolean mEnded;

    /** The class name of the failure, empty without one. */
    private volatile String mCause = "";

    /** {@inheritDoc} */
    @Override
    public void onHead(int status, HttpHeaders headers) {
        mHeaders = headers;
        mStatus = status;
    }

    /** {@inheritDoc} */
    @Override
    public void onPart(byte[] part) {
        mBody.append(new String(part, StandardCharsets.UTF_8));
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        mEnded = true;
        mDone.complete(null);
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(CallFailedException failure) {
        mCause = failure.getCause().getClass().getSimpleName();
        mDone.complete(null);
    }

    /** Stops waiting after the caller has aborted the call. */
    public void leave() {
        mDone.complete(null);
    }

    /**
     * Waits until no more data is expected.
     *
     * @param millis the time-out
     * @return whether the answer is over, false after the time-out
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean await(int millis) throws InterruptedException {
        try {
            mDone.get(millis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException exception) {
            return false;
        } catch (ExecutionException exception) {
            throw new IllegalStateException(
                    "the future completed exceptionally, which no code path does", exception);
        }
    }

    /**
     * Returns the status.
     *
     * @return the status, or 0 before the head has arrived
     */
    public int status() {
        return mStatus;
    }

    /**
     * Returns a header.
     *
     * @param name its name
     * @return its value, or an empty string
     */
    public String header(String name) {
        HttpHeaders headers = mHeaders;
        return headers == null ? "" : headers.get(name, "");
    }

    /**
     * Returns the body received so far.
     *
     * @return the body
     */
    public String body() {
        return mBody.toString();
    }

    /**
     * Returns whether the HTTP response was complete.
     *
     * @return whether it was complete
     */
    public boolean ended() {
        return mEnded;
    }

    /**
     * Returns why the answer was not complete.
     *
     * @return the class name of the failure, or an empty string
     */
    public String cause() {
        return mCause;
    }
}
