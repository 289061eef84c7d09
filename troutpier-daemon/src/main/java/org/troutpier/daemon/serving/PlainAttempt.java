package org.troutpier.daemon.serving;

import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * One call of a request to one upstream of a plain service. Confined to the traffic loop.
 * Invariants: the listener receives a complete answer or a failure once, and neither after the call
 * was aborted; an answer is buffered apart from those of other calls.
 */
final class PlainAttempt extends UpstreamRun {

    /** Receives what happens to calls. Called on the traffic loop. */
    interface Listener {

        /** Called each time the silence timer fires. */
        void onSilent(PlainAttempt attempt);

        /** Called when the call ends, however it ends, before its end is reported. */
        void onClosed(PlainAttempt attempt);

        /** Called with a complete answer, also with one that is not a success. */
        void onAnswer(PlainAttempt attempt, BufferedResponse answer);

        /** Called if the answer cannot be completed. */
        void onFailed(PlainAttempt attempt, AttemptEnd end);
    }

    private final Listener mListener;

    /** The response so far, or null before its head. */
    private BufferedResponse mResponse;

    /** The calls known at the upstream when this one was sent, itself included. */
    private int mCallsThere;

    /** When the call was sent or the upstream sent its last bytes, milliseconds after the start. */
    private long mLastBytesMillis;

    /** The longest time without bytes before the last ones, milliseconds. */
    private long mLongestPauseMillis;

    private boolean mSilent;

    private boolean mReportedLost;

    PlainAttempt(ServingContext context, UpstreamEntry upstream, Listener listener) {
        super(context, upstream);
        mListener = listener;
    }

    /** Sends the call. */
    void start(ServingRequest request, UpstreamPort.RunPlan plan) {
        mContext.loads().begin(mUpstream, 0);
        if (mContext.load().plainQueue()) {
            mCallsThere = mContext.loads().calls(mUpstream);
            mContext.plainCalls().begin(mUpstream.service());
        }
        send(request, plan);
    }

    UpstreamEntry upstream() {
        return mUpstream;
    }

    /** Returns the calls known at the upstream when this one was sent, itself included. */
    int callsThere() {
        return mCallsThere;
    }

    /** Returns the time since the call was sent, milliseconds. */
    long sentMillis() {
        return elapsedMillis();
    }

    /** Returns the time since the call was sent or the upstream sent its last bytes. */
    long silentMillis() {
        return elapsedMillis() - mLastBytesMillis;
    }

    /** Returns the longest time for which the upstream was silent, milliseconds. */
    long longestSilenceMillis() {
        return Math.max(mLongestPauseMillis, silentMillis());
    }

    private void recordBytes() {
        mLongestPauseMillis = longestSilenceMillis();
        mLastBytesMillis = elapsedMillis();
    }

    /**
     * Records that the call counts as silent, until it ends.
     *
     * @return whether it did not before
     */
    boolean markSilent() {
        boolean first = !mSilent;
        mSilent = true;
        return first;
    }

    /** Returns whether the call was found silent. */
    boolean isSilent() {
        return mSilent;
    }

    /**
     * Records that the silence is reported as a failure of the upstream.
     *
     * @return whether it was not before
     */
    boolean markReportedLost() {
        boolean first = !mReportedLost;
        mReportedLost = true;
        return first;
    }

    /** Returns whether the silence was reported as a failure of the upstream. */
    boolean isReportedLost() {
        return mReportedLost;
    }

    /** {@inheritDoc} */
    @Override
    protected void onSilence() {
        mListener.onSilent(this);
    }

    /** {@inheritDoc} */
    @Override
    protected void onClosed() {
        mContext.loads().end(mUpstream, 0);
        if (mContext.load().plainQueue()) {
            mContext.plainCalls().end(mUpstream.service());
        }
        mListener.onClosed(this);
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(UpstreamPort.Head head) {
        recordBytes();
        mResponse = new BufferedResponse(head);
    }

    /** {@inheritDoc} */
    @Override
    public void onPart(byte[] part) {
        recordBytes();
        if (!mResponse.append(part)) {
            abort();
            mListener.onFailed(
                    this, AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "the answer is too large"));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        close();
        mListener.onAnswer(this, mResponse);
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(AttemptEnd end) {
        refundIfUnreached(end);
        close();
        mListener.onFailed(this, end);
    }
}
