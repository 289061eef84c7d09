package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * The reading of one prompt at one prefill engine. Confined to the traffic loop. Invariant: it ends
 * once: read, failed or aborted; a silent engine is given up.
 */
final class PrefillCall implements UpstreamPort.ResultListener<UpstreamPort.StoredPrompt> {

    /** The collaborators. */
    private final ServingContext mContext;

    /** What is read. */
    private final Prompt mPrompt;

    /** Where it is read. */
    private final UpstreamEntry mEngine;

    /** The steps of the request. */
    private final RequestTrace mTrace;

    /** Receives the end. */
    private final Listener mListener;

    /** When it began, milliseconds. */
    private final long mStart;

    /** How long it is predicted to take, milliseconds; 0 where the pace is not known. */
    private final double mPredictedMillis;

    /** Gives the reading up. */
    private final TrafficLoop.Timer mTimeout;

    /** The call. */
    private UpstreamPort.Call mCall;

    /** Whether it has ended. */
    private boolean mEnded;

    /**
     * A prompt that is to be read.
     *
     * @param service the service that its request goes to
     * @param tokens its length
     * @param measurable whether nothing is known to wait before it and it was not read before, so
     *     that its time tells the engine's pace
     */
    record Prompt(String service, long tokens, boolean measurable) {}

    /** Receives how a reading ends, on the traffic loop. */
    interface Listener {

        /**
         * Receives the prompt.
         *
         * @param prompt where it is kept
         */
        void onPrefilled(UpstreamPort.StoredPrompt prompt);

        /**
         * Called when the engine did not read it.
         *
         * @param engine the engine
         * @param end how the call ended
         */
        void onFailed(UpstreamEntry engine, AttemptEnd end);
    }

    /**
     * Creates a reading.
     *
     * @param context the collaborators
     * @param prompt what is read
     * @param engine where it is read
     * @param trace the steps of the request
     * @param listener receives the end
     */
    PrefillCall(
            ServingContext context,
            Prompt prompt,
            UpstreamEntry engine,
            RequestTrace trace,
            Listener listener) {
        mContext = context;
        mPrompt = prompt;
        mEngine = engine;
        mTrace = trace;
        mListener = listener;
        mStart = context.loop().millis();
        mPredictedMillis =
                context.demandFor(prompt.service())
                        .reading()
                        .predictedMillis(context.loads().tokens(engine) + prompt.tokens());
        mTimeout = context.loop().schedule(this::onTimeout, timeoutMillis());
    }

    /**
     * Sends the call.
     *
     * @param request the request whose prompt it is
     * @param plan what goes with it
     */
    void send(ServingRequest request, UpstreamPort.RunPlan plan) {
        mTrace.addStep("prefill@" + mEngine.id());
        mContext.loads().begin(mEngine, mPrompt.tokens());
        mCall = mContext.port().prefill(mEngine, request, plan, this);
    }

    /**
     * Returns how long the engine may be silent. One that lost its answer is given up soon, so that
     * another can still read the prompt in time.
     *
     * @return milliseconds
     */
    private long timeoutMillis() {
        if (mPredictedMillis <= 0) {
            return ServingSettings.MAX_PREFILL_MILLIS;
        }
        double patience = mPredictedMillis * ServingSettings.PREFILL_TIMEOUT_FACTOR;
        return (long)
                Math.min(
                        ServingSettings.MAX_PREFILL_MILLIS,
                        Math.max(ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS, patience));
    }

    /** Gives the reading up because the engine is silent. */
    private void onTimeout() {
        if (!mEnded) {
            mCall.abort();
            onFailure(AttemptEnd.lost("prefill silent"));
        }
    }

    /** Ends the call without hearing more. */
    void abort() {
        mCall.abort();
        close();
    }

    /** Records that the call is over. */
    private void close() {
        mTimeout.cancel();
        if (!mEnded) {
            mEnded = true;
            mContext.loads().end(mEngine, mPrompt.tokens());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onNotice(UpstreamNotice notice, UpstreamPort.Verdict verdict) {
        long tookMillis = mContext.loop().millis() - mStart;
        mContext.admission().recordAnswer(mEngine, notice, verdict, tookMillis);
    }

    /** {@inheritDoc} */
    @Override
    public void onResult(UpstreamPort.StoredPrompt prompt) {
        close();
        long now = mContext.loop().millis();
        if (mPrompt.measurable()) {
            mContext.demandMeter()
                    .recordPrefill(mPrompt.service(), mPrompt.tokens(), now - mStart, now);
        }
        if (mPredictedMillis > 0) {
            mContext.prefillExcess().record(now - mStart - mPredictedMillis);
            mContext.metrics().recordPredictionError("prefill", mPredictedMillis, now - mStart);
        }
        mContext.loads().succeeded(mEngine);
        mContext.metrics().callSucceeded(mEngine.id(), "prefill", now - mStart);
        mTrace.addStep("read");
        mListener.onPrefilled(prompt);
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(AttemptEnd end) {
        close();
        if (end.neverReached()) {
            mContext.admission().refund(mEngine, mStart);
        }
        mTrace.addStep("prefill failed(" + end.detail() + ")");
        mContext.metrics().callFailed(mEngine.id(), end.notStarted());
        if (end.notStarted() && end.leaving()) {
            mContext.loads().replaced(mEngine);
        } else if (end.notStarted() && !end.unreachable()) {
            mContext.loads().refused(mEngine);
        } else {
            mContext.loads().failed(mEngine, end.unreachable(), end.detail());
        }
        mListener.onFailed(mEngine, end);
    }
}
