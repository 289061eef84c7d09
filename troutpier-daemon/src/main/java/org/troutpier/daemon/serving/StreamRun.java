package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * One run at an engine or a replica of a plain service, whose events are relayed to the caller.
 * Confined to the traffic loop. Invariants: silence never ends the run; unless it is aborted, it
 * ends with exactly one of {@link Listener#onCompleted}, {@link Listener#onErrorAnswer} and {@link
 * Listener#onFailed}, after {@link Listener#onClosed}.
 */
final class StreamRun extends UpstreamRun {

    /** The stored prefill result; empty where the decode engine processes the prompt. */
    private final Optional<UpstreamPort.StoredPrompt> mPrompt;

    private final EventRelay mRelay;

    private final EventRelay.Source mSource;

    private final CallerChannel mCaller;

    private final EventGaps mGaps;

    private final RequestTrace mTrace;

    private final Listener mListener;

    private final EventRelay.Filter mFilter =
            new EventRelay.Filter() {

                /** {@inheritDoc} */
                @Override
                public boolean relaysEvent(boolean numbered) {
                    return mListener.onEvent(StreamRun.this, numbered);
                }

                /** {@inheritDoc} */
                @Override
                public boolean relaysComment() {
                    return mListener.onComment(StreamRun.this);
                }
            };

    /** Whether the answer has a length or chunks. */
    private boolean mFramed;

    /** When the first event was relayed, milliseconds on the loop's clock; -1 before. */
    private long mFirstEventAt = -1;

    /** When the engine was last known not to be silent, milliseconds on the loop's clock. */
    private long mLastBytesAt;

    /** Whether reading is paused because the caller does not read. */
    private boolean mPaused;

    /** A response that is not a success and therefore no event stream, or null. */
    private BufferedResponse mErrorResponse;

    /** Receives what happens to a run, on the traffic loop. */
    interface Listener {

        /**
         * Called while nothing arrives from the engine, each time the silence limit or the interval
         * of further checks has passed.
         *
         * @param millis how long the engine has been silent
         */
        void onSilent(StreamRun run, long millis);

        /**
         * Called when anything arrives from the engine, before it is processed.
         *
         * @param millis how long the engine had been silent
         */
        void onBytes(StreamRun run, long millis);

        /** Called with the head of a successful answer. */
        void onHead(StreamRun run, UpstreamPort.Head head);

        /**
         * Called before an event that is next in order is relayed.
         *
         * @param numbered whether the event has an id
         * @return whether to relay it
         */
        boolean onEvent(StreamRun run, boolean numbered);

        /**
         * Called before a comment is relayed.
         *
         * @return whether to relay it
         */
        boolean onComment(StreamRun run);

        /**
         * Called after events were relayed.
         *
         * @param events the number of new events
         */
        void onEvents(long events);

        /**
         * Called after the first event of the stream was relayed.
         *
         * @param millis the time since the run was sent, milliseconds
         */
        void onFirstEvent(StreamRun run, long millis);

        /** Called when the run ends, however it ends. */
        void onClosed(StreamRun run);

        /**
         * Called when the stream is complete.
         *
         * @param millis the duration of the run
         * @param framed whether the answer has a length or chunks
         */
        void onCompleted(StreamRun run, long millis, boolean framed);

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
        mSource = relay.new Source(engine);
        mCaller = caller;
        mGaps = gaps;
        mTrace = trace;
        mListener = listener;
        mLastBytesAt = context.loop().millis();
    }

    UpstreamEntry upstream() {
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

    /**
     * Returns how long nothing has arrived from the engine.
     *
     * @return milliseconds; 0 while reading is paused
     */
    long silentMillis() {
        return mPaused ? 0 : mContext.loop().millis() - mLastBytesAt;
    }

    void start(ServingRequest request, UpstreamPort.RunPlan plan) {
        send(request, plan);
        startSilenceTimer(ServingSettings.STREAM_SILENCE_MILLIS);
    }

    /** Reads on after the caller has read. */
    void resumeReading() {
        if (mPaused) {
            mPaused = false;
            mLastBytesAt = mContext.loop().millis();
            setAutoRead(true);
        }
    }

    /** {@inheritDoc} Bytes do not reset the timer; it is started again for what is left. */
    @Override
    protected void onSilence() {
        long silentMillis = silentMillis();
        long left = ServingSettings.STREAM_SILENCE_MILLIS - silentMillis;
        startSilenceTimer(left > 0 ? left : ServingSettings.SILENCE_CHECK_MILLIS);
        if (left <= 0) {
            mListener.onSilent(this, silentMillis);
        }
    }

    /** {@inheritDoc} */
    @Override
    protected void onClosed() {
        mListener.onClosed(this);
    }

    private void recordBytes() {
        long silentMillis = silentMillis();
        mLastBytesAt = mContext.loop().millis();
        mListener.onBytes(this, silentMillis);
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(UpstreamPort.Head head) {
        recordBytes();
        if (head.verdict() == UpstreamPort.Verdict.SUCCESS) {
            mFramed = head.framed();
            mListener.onHead(this, head);
        } else {
            mErrorResponse = new BufferedResponse(head);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onPart(byte[] part) {
        recordBytes();
        if (mErrorResponse != null) {
            if (!mErrorResponse.append(part)) {
                fail(ResultCode.UPSTREAM_FAILED, "the answer is too large");
            }
            return;
        }
        long before = mRelay.eventCount();
        try {
            mSource.feed(part, mFilter);
        } catch (TroutpierException exception) {
            fail(exception.code(), exception.detail());
            return;
        }
        long events = mRelay.eventCount() - before;
        mGaps.onEvents(mRelay.eventCount());
        mListener.onEvents(events);
        if (mFirstEventAt < 0 && events > 0) {
            mFirstEventAt = mContext.loop().millis();
        }
        if (before == 0 && events > 0) {
            mTrace.addStep("first event");
            mListener.onFirstEvent(this, elapsedMillis());
        }
        if (!mCaller.isWritable()) {
            mPaused = true;
            setAutoRead(false);
            mGaps.interrupt();
        }
    }

    /** Fails the run because of what the engine sent. */
    private void fail(ResultCode code, String detail) {
        abort();
        onFailure(AttemptEnd.failed(code, detail));
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        recordBytes();
        if (mErrorResponse != null) {
            close();
            mListener.onErrorAnswer(this, mErrorResponse);
        } else if (mSource.atEventBoundary()) {
            close();
            mListener.onCompleted(this, elapsedMillis(), mFramed);
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
