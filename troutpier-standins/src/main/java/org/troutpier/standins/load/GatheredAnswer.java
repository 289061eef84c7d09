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
 * Gathers what came of an answer, also of one that was cut. Thread safe: written on an event loop,
 * read by whoever waits.
 */
public final class GatheredAnswer implements ReplyListener {

    /** Completes when no more comes. */
    private final CompletableFuture<Void> mOver = new CompletableFuture<>();

    /** The body so far. */
    private final StringBuffer mBody = new StringBuffer();

    /** The status; 0 until a head has come. */
    private volatile int mStatus;

    /** The headers; null until a head has come. */
    private volatile HttpHeaders mHeaders;

    /** Whether the answer ended as HTTP has it. */
    private volatile boolean mEnded;

    /** Why it did not, in one word. */
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
        mOver.complete(null);
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(CallFailedException failure) {
        mCause = failure.getCause().getClass().getSimpleName();
        mOver.complete(null);
    }

    /** Notes that the caller has left: nobody waits for more. */
    public void leave() {
        mOver.complete(null);
    }

    /**
     * Waits until no more comes.
     *
     * @param millis for how long at most
     * @return whether no more comes
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean await(int millis) throws InterruptedException {
        try {
            mOver.get(millis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException exception) {
            return false;
        } catch (ExecutionException exception) {
            throw new IllegalStateException("nothing completes this with a failure", exception);
        }
    }

    /**
     * Returns the status.
     *
     * @return the status, or 0 where no head came
     */
    public int status() {
        return mStatus;
    }

    /**
     * Returns a header.
     *
     * @param name its name
     * @return its value, or nothing
     */
    public String header(String name) {
        HttpHeaders headers = mHeaders;
        return headers == null ? "" : headers.get(name, "");
    }

    /**
     * Returns the body.
     *
     * @return what has come of it
     */
    public String body() {
        return mBody.toString();
    }

    /**
     * Returns whether the answer ended as HTTP has it.
     *
     * @return whether it did
     */
    public boolean ended() {
        return mEnded;
    }

    /**
     * Returns why it did not end.
     *
     * @return the name of the failure, or nothing
     */
    public String cause() {
        return mCause;
    }
}
