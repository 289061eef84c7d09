package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.notice.UpstreamNotice;
import org.troutpier.daemon.pace.PaceEstimate;
import org.troutpier.daemon.pace.PrefillWatch;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * One call that has a prompt processed by a prefill engine. Confined to the traffic loop.
 * Invariants: the call ends exactly once, by success, failure or abort, and silence never ends it;
 * a result that arrives later is freed at its engine.
 */
final class PrefillCall implements UpstreamPort.ResultListener<UpstreamPort.StoredPrompt> {

    /** Interval of checks while no other engine could process the prompt in time, milliseconds. */
    private static final long RECHECK_MILLIS = 100;

    /**
     * The multiple of its predicted duration after which a call counts as a measurement although it
     * is not answered yet. A slow engine answers too late for those that are sent meanwhile.
     */
    static final double OVERDUE_FACTOR = 2;

    private static final double MIN_MEASUREMENT_WEIGHT = 0.3;

    private static final PrefillWatch.Limits TIMEOUT_LIMITS =
            new PrefillWatch.Limits(
                    ServingSettings.PREFILL_TIMEOUT_FACTOR,
                    ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS,
                    ServingSettings.MAX_PREFILL_MILLIS);

    private final ServingContext mContext;

    private final Prompt mPrompt;

    private final UpstreamEntry mEngine;

    private final RequestTrace mTrace;

    private final Listener mListener;

    /** When the call was created, milliseconds on the loop's clock. */
    private final long mStart;

    /**
     * The predicted duration at an engine like the others, milliseconds; 0 where the engines'
     * throughput is unknown.
     */
    private final double mPredictedMillis;

    /** The predicted duration at the engine's pace, milliseconds. */
    private final double mPacedMillis;

    /** Decides when the engine is silent; null where the time-out does not follow the load. */
    private final PrefillWatch mWatch;

    private TrafficLoop.Timer mTimeout;

    /** Fires once the call takes longer than predicted; null where its duration is unknown. */
    private TrafficLoop.Timer mOverdueTimer;

    private UpstreamPort.Call mCall;

    /** The call among those of its request; null until it is sent. */
    private RequestArrivals.Arrival mArrival;

    private boolean mEnded;

    /** Whether the engine has passed the silence limit. */
    private boolean mSilent;

    /**
     * A prompt to be processed. Immutable and thread safe.
     *
     * @param service the service of its request
     * @param tokens the prompt's length
     * @param measurable whether the duration of its prefill may be taken as a sample of the
     *     engines' throughput: no other prompt is known to be queued before it, and it was not sent
     *     before
     */
    record Prompt(String service, long tokens, boolean measurable) {}

    /** Receives the outcome of a prefill, on the traffic loop. */
    interface Listener {

        /**
         * Called when the prompt was processed.
         *
         * @param prompt the result, stored at the engine
         */
        void onPrefilled(PrefillCall call, UpstreamPort.StoredPrompt prompt);

        /**
         * Called while the engine does not answer, each time the silence limit or the interval of
         * further checks has passed.
         */
        void onSilent(PrefillCall call);

        /** Called when the engine did not process the prompt. */
        void onFailed(PrefillCall call, UpstreamEntry engine, AttemptEnd end);

        /** Returns whether the first event could still be in time if another engine is called. */
        boolean mayBeInTimeElsewhere();
    }

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
        mPredictedMillis = predictedMillis(context.loads().tokens(engine) + prompt.tokens());
        if (context.load().pace()) {
            PrefillWatch.EngineState state = engineState(mPredictedMillis);
            mWatch = new PrefillWatch(TIMEOUT_LIMITS, state, mStart);
            mTimeout =
                    context.loop().schedule(this::onCheck, mWatch.remainingMillis(state, mStart));
            mPacedMillis = state.predictedMillis();
        } else {
            mWatch = null;
            mTimeout = context.loop().schedule(this::onSilent, timeoutMillis());
            mPacedMillis = mPredictedMillis;
        }
        if (mWatch != null && mPredictedMillis > 0) {
            long overdueMillis = (long) (mPredictedMillis * OVERDUE_FACTOR);
            mOverdueTimer = context.loop().schedule(this::recordOverdue, overdueMillis);
        }
    }

    /** Records the time of a call that is not answered yet. */
    private void recordOverdue() {
        long millis = mContext.loop().millis() - mStart;
        mContext.loads()
                .paces()
                .recordOverdue(mEngine, millis, mPredictedMillis, measurementWeight());
    }

    /** Records the time of an answered call. */
    private void recordPace(long millis) {
        if (mWatch != null) {
            mContext.loads().paces().record(mEngine, millis, mPredictedMillis, measurementWeight());
        }
    }

    private double predictedMillis(long tokensWithQueue) {
        return mContext.demandFor(mPrompt.service()).reading().predictedMillis(tokensWithQueue);
    }

    private PrefillWatch.EngineState engineState(double predictedMillis) {
        PaceEstimate paces = mContext.loads().paces();
        return new PrefillWatch.EngineState(
                predictedMillis * paces.pace(mEngine), paces.recentWeight(mEngine));
    }

    /** Sends the call. */
    void send(ServingRequest request, UpstreamPort.RunPlan plan) {
        mTrace.addStep(
                mWatch == null
                        ? "prefill@" + mEngine.id()
                        : "prefill@"
                                + mEngine.id()
                                + " predicted "
                                + (long) mPacedMillis
                                + "ms"
                                + mContext.loads().paces().describe(mEngine));
        mContext.loads().begin(mEngine, mPrompt.tokens());
        mArrival = plan.arrival();
        mCall = mContext.port().prefill(mEngine, request, plan, this);
    }

    /** Returns the call among those of its request; null until it is sent. */
    RequestArrivals.Arrival arrival() {
        return mArrival;
    }

    /** Returns whether the engine has passed the silence limit. */
    boolean isSilent() {
        return mSilent;
    }

    /** Returns the time since the call was created, milliseconds. */
    long elapsedMillis() {
        return mContext.loop().millis() - mStart;
    }

    /**
     * Returns the time after which the engine counts as silent. It follows the prediction, so that
     * after a lost answer another engine can still process the prompt in time.
     */
    private long timeoutMillis() {
        if (mPredictedMillis <= 0) {
            return ServingSettings.MAX_PREFILL_MILLIS;
        }
        double timeout = mPredictedMillis * ServingSettings.PREFILL_TIMEOUT_FACTOR;
        return (long)
                Math.min(
                        ServingSettings.MAX_PREFILL_MILLIS,
                        Math.max(ServingSettings.MIN_PREFILL_TIMEOUT_MILLIS, timeout));
    }

    /** Gives the engine more time while its load explains that it has not answered yet. */
    private void onCheck() {
        if (mEnded) {
            return;
        }
        long now = mContext.loop().millis();
        long queuedTokens = mContext.loads().tokens(mEngine);
        long remaining = mWatch.remainingMillis(engineState(predictedMillis(queuedTokens)), now);
        long untilMax = mStart + ServingSettings.MAX_PREFILL_MILLIS - now;
        if (remaining == 0 && untilMax > 0 && !mListener.mayBeInTimeElsewhere()) {
            remaining = Math.min(untilMax, RECHECK_MILLIS);
        }
        if (remaining > 0) {
            mContext.metrics().prefillTimeoutExtended();
            mTimeout = mContext.loop().schedule(this::onCheck, remaining);
            return;
        }
        onSilent();
    }

    private void onSilent() {
        if (mEnded) {
            return;
        }
        if (!mSilent) {
            mSilent = true;
            mTrace.markNotable();
            mTrace.addStep(
                    "prefill silent@%s for %dms, known tokens %d%s"
                            .formatted(
                                    mEngine.id(),
                                    elapsedMillis(),
                                    mContext.loads().tokens(mEngine),
                                    mContext.loads().paces().describe(mEngine)));
            mContext.metrics().silentPrefill("begun");
            mContext.loads().silent(mEngine, "prefill silent");
        }
        mTimeout = mContext.loop().schedule(this::onSilent, ServingSettings.SILENCE_CHECK_MILLIS);
        mListener.onSilent(this);
    }

    /**
     * Returns the weight of the duration as a measurement of the engine: the less of it the prompt
     * itself took, the more it depends on how well the queue was known.
     */
    private double measurementWeight() {
        double alone = predictedMillis(mPrompt.tokens());
        return Math.max(MIN_MEASUREMENT_WEIGHT, Math.min(1, alone / mPredictedMillis));
    }

    /** Aborts the call because its request ends; its listener is not called. */
    void abort() {
        abort("ended");
    }

    /** Aborts the call because its result is no longer needed; its listener is not called. */
    void giveWay() {
        mTrace.addStep("prefill replaced@" + mEngine.id() + " after " + elapsedMillis() + "ms");
        abort("replaced");
    }

    private void abort(String event) {
        mCall.abort();
        close();
        recordSilenceEnd(event);
    }

    private void recordSilenceEnd(String event) {
        if (mSilent) {
            mContext.metrics().silentPrefill(event);
        }
    }

    private void close() {
        mTimeout.cancel();
        if (mOverdueTimer != null) {
            mOverdueTimer.cancel();
        }
        if (!mEnded) {
            mEnded = true;
            mContext.loads().end(mEngine, mPrompt.tokens());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onNotice(UpstreamNotice notice, UpstreamPort.Verdict verdict) {
        mContext.admission().recordAnswer(mEngine, notice, verdict, elapsedMillis());
    }

    /** {@inheritDoc} */
    @Override
    public void onResult(UpstreamPort.StoredPrompt prompt) {
        if (mEnded) {
            mContext.port().discard(prompt);
            return;
        }
        close();
        recordSilenceEnd("continued");
        if (mSilent) {
            mTrace.addStep("continued@" + mEngine.id() + " after " + elapsedMillis() + "ms");
        } else {
            recordMeasurements();
        }
        mContext.loads().succeeded(mEngine);
        mContext.metrics().callSucceeded(mEngine.id(), "prefill", elapsedMillis());
        mTrace.addStep("read");
        mListener.onPrefilled(this, prompt);
    }

    /**
     * Records how long the engine took. The duration of a call with a pause would lower the
     * throughput that is predicted for all engines, so that requests are refused as too late.
     */
    private void recordMeasurements() {
        long now = mContext.loop().millis();
        long engineMillis = mCall.upstreamMillis(now - mStart);
        if (mPrompt.measurable()) {
            mContext.demandMeter()
                    .recordPrefill(mPrompt.service(), mPrompt.tokens(), engineMillis, now);
        }
        if (mPredictedMillis > 0) {
            mContext.prefillExcess().record(now - mStart - mPacedMillis);
            mContext.prefillCheck()
                    .recordMeasurement(mPrompt.service(), mPacedMillis, now - mStart);
            recordPace(engineMillis);
            mContext.metrics().recordPredictionError("prefill", mPacedMillis, now - mStart);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(AttemptEnd end) {
        if (mEnded) {
            return;
        }
        if (end.neverReached()) {
            mContext.admission().refund(mEngine, mStart);
        }
        close();
        recordSilenceEnd("ended");
        mTrace.addStep("prefill failed(" + end.detail() + ")");
        mContext.metrics().callFailed(mEngine.id(), end);
        if (end.notStarted() && end.leaving()) {
            mContext.loads().replaced(mEngine);
        } else if (end.notStarted() && !end.unreachable()) {
            mContext.loads().refused(mEngine);
        } else {
            mContext.loads().failed(mEngine, end.unreachable(), end.detail());
        }
        mListener.onFailed(this, mEngine, end);
    }
}
