package org.troutpier.daemon.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import org.troutpier.common.result.ResultCode;

/** A caller that records what it receives. Confined to the test's thread. */
final class FakeCaller implements CallerChannel {

    private final StringBuilder mText = new StringBuilder();
    int mStatus;
    int mAnswers;
    ResultCode mRefusal;
    long mRetryAfterMillis;
    boolean mEnded;
    boolean mAborted;
    boolean mWritable = true;
    private Runnable mOnGone = () -> {};
    private Runnable mOnWritable = () -> {};

    String text() {
        return mText.toString();
    }

    void readOn() {
        mWritable = true;
        mOnWritable.run();
    }

    void disconnect() {
        mOnGone.run();
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, byte[] body) {
        mStatus = status;
        mAnswers++;
        write(body);
    }

    @Override
    public void refuse(ResultCode code, String detail, long retryAfterMillis) {
        mRefusal = code;
        mAnswers++;
        mRetryAfterMillis = retryAfterMillis;
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
        mStatus = status;
        mAnswers++;
    }

    @Override
    public void write(byte[] part) {
        mText.append(new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void endStream() {
        mEnded = true;
    }

    @Override
    public void abort() {
        mAborted = true;
    }

    @Override
    public boolean isWritable() {
        return mWritable;
    }

    @Override
    public void onDisconnect(Runnable action) {
        mOnGone = action;
    }

    @Override
    public void onWritable(Runnable action) {
        mOnWritable = action;
    }
}
