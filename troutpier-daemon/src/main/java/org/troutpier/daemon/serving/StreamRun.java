package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * One run at a decode engine, whose events are relayed to the caller. Confined to the traffic loop.
 * Invariant: unless it is aborted, the run ends with exactly one of {@link Listener#onCompleted},
 * {@link Listener#onErrorAnswer} and {@link Listener#onFailed}, after {@link Listener#onClosed}.
 */
final class StreamRun extends UpstreamRun {

    /** The stored prefill result; empty where the decode engine processes the prompt. */
    private final Optional<UpstreamPort.StoredPrompt> mPrompt;

    private final EventRelay mRelay;

    private final CallerChannel mCaller;

    private final EventGaps mGaps;

    private final RequestTrace mTrace;

    private final Listener mListener;

    /** Whether the answer has a length or chunks. */
    private boolean mFramed;

    /** When the first event was relayed, milliseconds on the loop's clock; -1 before. */
    private long mFirstEventAt = -1;

    /** A response that is not a success and therefore no event stream, or null. */
    private BufferedResponse mErrorResponse;

    /** Receives what happens to a run, on the traffic loop. */
    interface Listener {

        /** Returns whether another engine may resume the stream if this one is silent. */
        boolean mayResume();

        /** Called with the head of a successful answer. */
        void onHead(UpstreamPort.Head head);

        /**
         * Called after events were relayed.
         *
         * @param events the number of new events
         */
        void onEvents(long events);

        /** Called after the first event of the stream was relayed. */
        void onFirstEvent();

        /** Called when the run ends, however it ends. */
        void onClosed();

        /**
         * Called when the stream is complete.
         *
         * @param millis the duration of the run
         * @param framed whether the answer has a length or chunks
         */
        void onCompleted(UpstreamEntry engine, long millis, boolean framed);

        /** Called when the engine sent a complete answer that is no event stream. */
        void onErrorAnswer(StreamRun run, BufferedResponse answer);

        /** Called when the run failed. */
        void onFailed(StreamRun run, AttemptEnd end);
    }

    /**
     * Creates a run.
     *
     * @param prompt the stored prefill result; empty where the decode engine processes the prompt
     * @param gaps records the pauses between the events
     */
    StreamRun(
            ServingContext context,
            UpstreamEntry engine,
            Optional<UpstreamPort.StoredPrompt> prompt,
            EventRelay relay,
            CallerChannel caller,
            EventGaps gaps,
            RequestTrace trace,
            Listener listener) {
        super(context, engine);
        mPrompt = prompt;
        mRelay = relay;
        mCaller = caller;
        mGaps = gaps;
        mTrace = trace;
        mListener = listener;
    }

    UpstreamEntry engine() {
        return mUpstream;
    }

    Optional<UpstreamPort.StoredPrompt> prompt() {
        return mPrompt;
    }

    /**
     * Returns how long the engine has written events.
     *
     * @return milliseconds since the first event; 0 before
     */
    long writingMillis() {
        return mFirstEventAt < 0 ? 0 : mContext.loop().millis() - mFirstEventAt;
    }

    void start(ServingRequest request, UpstreamPort.RunPlan plan) {
        send(request, plan);
        mCaller.onWritable(() -> setAutoRead(true));
        restartSilenceTimer();
    }

    private void restartSilenceTimer() {
        if (mListener.mayResume()) {
            startSilenceTimer(ServingSettings.STREAM_SILENCE_MILLIS);
        } else {
            stopSilenceTimer();
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void onSilence() {
        abort();
        onFailure(AttemptEnd.failed(ResultCode.OUTCOME_UNKNOWN, "stream silent"));
    }

    /** {@inheritDoc} */
    @Override
    protected void onClosed() {
        mListener.onClosed();
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(UpstreamPort.Head head) {
        if (head.verdict() == UpstreamPort.Verdict.SUCCESS) {
            mFramed = head.framed();
            mListener.onHead(head);
        } else {
            mErrorResponse = new BufferedResponse(head);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onPart(byte[] part) {
        if (mErrorResponse != null) {
            mErrorResponse.append(part);
            return;
        }
        long before = mRelay.eventCount();
        try {
            mRelay.feed(part);
        } catch (TroutpierException exception) {
            abort();
            onFailure(AttemptEnd.failed(exception.code(), exception.detail()));
            return;
        }
        mGaps.onEvents(mRelay.eventCount());
        mListener.onEvents(mRelay.eventCount() - before);
        if (mFirstEventAt < 0 && mRelay.eventCount() > before) {
            mFirstEventAt = mContext.loop().millis();
        }
        if (before == 0 && mRelay.eventCount() > 0) {
            mTrace.addStep("first event");
            mContext.firstEventDelay().record(elapsedMillis());
            mListener.onFirstEvent();
        }
        restartSilenceTimer();
        if (!mCaller.isWritable()) {
            setAutoRead(false);
            mGaps.interrupt();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        if (mErrorResponse != null) {
            close();
            mListener.onErrorAnswer(this, mErrorResponse);
        } else if (mRelay.atEventBoundary()) {
            close();
            mListener.onCompleted(mUpstream, elapsedMillis(), mFramed);
        } else {
            onFailure(AttemptEnd.lost("ended inside an event"));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(AttemptEnd end) {
        refundIfUnreached(end);
        close();
        mListener.onFailed(this, end);
    }
}
