package org.troutpier.daemon.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Has the prompt of one streaming request processed by a prefill engine. Confined to the traffic
 * loop. Invariants: at most one prefill is in progress; a result is handed on, kept or discarded.
 */
final class PrefillStage {

    private final StreamExecution mExecution;

    private final ServingContext mContext;

    private final PrefillEngines mEngines;

    private final long mPromptTokens;

    private final StreamTiming mTiming;

    private final PrefillResult mResult;

    /** Receives the result; empty where the decode engine has to process the prompt itself. */
    private final Consumer<Optional<UpstreamPort.StoredPrompt>> mNext;

    /** Prefill engines that were tried for the current run. */
    private final Set<UpstreamIncarnation> mTriedEngines = new HashSet<>();

    /** The prefill in progress, or null. */
    private PrefillCall mCall;

    /** The queue tier when the last prefill was sent. */
    private QueueTier mTierWhenSent = QueueTier.IN_TIME;

    /** Whether a prefill was already sent. */
    private boolean mSentBefore;

    PrefillStage(
            StreamExecution execution,
            EngineTraits traits,
            PrefillEngines engines,
            StreamTiming timing,
            Consumer<Optional<UpstreamPort.StoredPrompt>> next) {
        mExecution = execution;
        mContext = execution.mContext;
        mEngines = engines;
        mPromptTokens = engines.promptTokens();
        mTiming = timing;
        mResult = new PrefillResult(mContext, traits);
        mNext = next;
    }

    /**
     * Obtains a result. Where there is no prefill engine, none admits the call, or the budget of
     * extra calls allows the run only, the decode engine processes the prompt itself. Where the
     * budget does not allow the run either, the request ends.
     *
     * @param resumeAfter the last event that the caller has received
     */
    void start(OptionalLong resumeAfter) {
        if (mExecution.refuseIfQuarantined()) {
            return;
        }
        Optional<UpstreamPort.StoredPrompt> kept = mResult.take();
        if (kept.isPresent()) {
            mExecution.trace().addStep("prompt kept");
            mNext.accept(kept);
            return;
        }
        if (!mExecution.mArrivals.reserve()) {
            mExecution.failWithoutPermit();
            return;
        }
        List<UpstreamEntry> engines = mEngines.inOrder(mTriedEngines);
        if (engines.isEmpty()) {
            mExecution.trace().addStep("no prefill engine");
            mNext.accept(Optional.empty());
            return;
        }
        Optional<RequestArrivals.Arrival> arrival = mExecution.mArrivals.beginPrefill();
        if (arrival.isEmpty()) {
            mNext.accept(Optional.empty());
            return;
        }
        Optional<UpstreamEntry> admitted =
                mContext.admission().acquireFirst(engines, mExecution.flowKey());
        if (admitted.isEmpty()) {
            arrival.get().recordUnreached();
            mExecution.trace().addStep("no prefill engine admits the call");
            mNext.accept(Optional.empty());
            return;
        }
        mEngines.recordPassedOver(engines, admitted.get(), mExecution.trace());
        send(admitted.get(), arrival.get(), resumeAfter);
    }

    private void send(
            UpstreamEntry engine, RequestArrivals.Arrival arrival, OptionalLong resumeAfter) {
        mTriedEngines.add(engine.incarnation());
        mTierWhenSent = mTiming.tier();
        boolean measurable =
                mContext.loads().tokens(engine) == 0 && !mSentBefore && !mTiming.isReturning();
        mSentBefore = true;
        PrefillCall.Prompt prompt =
                new PrefillCall.Prompt(mExecution.mService, mPromptTokens, measurable);
        mCall =
                new PrefillCall(
                        mContext,
                        prompt,
                        engine,
                        mExecution.trace(),
                        new CallListener(resumeAfter));
        mCall.send(
                mExecution.mRequest,
                UpstreamPort.RunPlan.plain(
                                arrival, mExecution.remainingMillis(), mExecution.priority())
                        .withResumeAfter(resumeAfter));
    }

    /** Keeps a result that no decode engine has fetched, for the next one. */
    void keep(UpstreamPort.StoredPrompt result) {
        mResult.keep(result);
    }

    /** Allows all prefill engines again, for another run. */
    void restart() {
        mTriedEngines.clear();
    }

    /** Aborts the prefill in progress and discards a kept result. */
    void release() {
        if (mCall != null) {
            mCall.abort();
            mCall = null;
        }
        mResult.discard();
    }

    /** Receives the outcome of a prefill. Confined to the traffic loop. */
    private final class CallListener implements PrefillCall.Listener {

        private final OptionalLong mResumeAfter;

        CallListener(OptionalLong resumeAfter) {
            mResumeAfter = resumeAfter;
        }

        /** {@inheritDoc} */
        @Override
        public void onPrefilled(UpstreamPort.StoredPrompt prompt) {
            mCall = null;
            mResult.recordStored();
            mNext.accept(Optional.of(prompt));
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayBeInTimeElsewhere() {
            return mTiming.waitBudget(mTierWhenSent)
                    .allowsPrefill(mTiming.prediction(mTriedEngines));
        }

        /** {@inheritDoc} */
        @Override
        public void onFailed(UpstreamEntry engine, AttemptEnd end) {
            mCall = null;
            mExecution.afterCrashAttribution(engine, end, 0, ended -> start(mResumeAfter));
        }
    }
}
