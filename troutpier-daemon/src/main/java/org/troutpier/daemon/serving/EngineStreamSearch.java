package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.WaitBudget;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Finds a decode engine for the next run of a stream: reserves memory there, then has a prefill
 * engine process the prompt. Confined to the traffic loop. Invariants: at most one search is in
 * progress; no prefill is sent before memory is reserved for its request.
 */
final class EngineStreamSearch implements StreamSearch {

    private final StreamExecution mExecution;

    private final ServingContext mContext;

    private final EventRelay mRelay;

    private final StreamUpstreams mEngines;

    private final StreamTiming mTiming;

    private final PrefillStage mPrefill;

    private final DecodeReservation mReservation;

    private final Listener mListener;

    /** The engine that still has the prompt of a run whose answer was lost. */
    private final ResumeTarget mResumeTarget = new ResumeTarget();

    private double mPredictedWaitMillis;

    private final EngineTraits mTraits;

    private final PromptMetadata mPrompt;

    /** Whether the arrival of the request was recorded. */
    private boolean mArrived;

    EngineStreamSearch(
            StreamExecution execution,
            EngineTraits traits,
            EventRelay relay,
            StreamUpstreams engines,
            Listener listener) {
        mExecution = execution;
        mContext = execution.mContext;
        mRelay = relay;
        mEngines = engines;
        mListener = listener;
        mTraits = traits;
        PromptMetadata prompt = execution.mRequest.prompt().orElse(PromptMetadata.NONE);
        mPrompt = prompt;
        PrefillEngines prefillEngines =
                new PrefillEngines(
                        mContext,
                        () -> execution.upstreams(UpstreamEntry.Role.PREFILL),
                        execution.mService,
                        prompt.promptTokens());
        mTiming = new StreamTiming(execution, prefillEngines, engines);
        mPrefill =
                new PrefillStage(execution, traits, prefillEngines, mTiming, this::onPromptReady);
        mReservation =
                new DecodeReservation(
                        mContext, execution.mService, traits, execution.flowKey(), prompt);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<StreamUpstreams.Obstacle> obstacle() {
        return mPrompt.promptTokens() > mTraits.memoryTokens()
                ? Optional.of(
                        new StreamUpstreams.Obstacle(
                                ResultCode.NO_PLACE, "larger than an engine's memory"))
                : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public void begin() {
        if (!mArrived) {
            mArrived = true;
            mTiming.recordArrival();
        }
        Optional<StreamUpstreams.Obstacle> obstacle = mEngines.obstacle(ResultCode.NO_PLACE);
        if (obstacle.isPresent()) {
            mListener.onNotFound(obstacle.get().code(), obstacle.get().detail());
            return;
        }
        WaitBudget budget = mTiming.waitBudget();
        WaitBudget.Prediction prediction = mTiming.prediction();
        if (mContext.admission().backOffMillis(mEngines.untried())
                > budget.waitMillis(prediction)) {
            mListener.onNotFound(ResultCode.NO_PLACE, "engines asked for a back-off");
            return;
        }
        mPredictedWaitMillis =
                mReservation
                        .forecast()
                        .predictedWaitMillis(
                                mEngines.all(), mTiming.queueTier(), budget.waitMillis(prediction));
        if (budget.isExceededBy(mPredictedWaitMillis, prediction)) {
            if (!mExecution.isRunning()) {
                mContext.metrics().refusedAtOnce(budget.tier());
            }
            mExecution
                    .trace()
                    .addStep("predicted wait for memory " + (long) mPredictedWaitMillis + "ms");
            mListener.onNotFound(ResultCode.NO_PLACE, "no place in time");
            return;
        }
        mTiming.recordSearch();
        mReservation.search(
                budget.waitMillis(prediction),
                mTiming.queueTier(),
                mRelay.eventCount(),
                this::eligible,
                new AnyEngineListener());
    }

    /**
     * Returns the engines at which memory may be reserved now; none while the prefill engines could
     * not process the prompt in time.
     */
    private List<UpstreamEntry> eligible() {
        return mTiming.waitBudget().allowsPrefill(mTiming.prediction())
                ? mEngines.untried()
                : List.of();
    }

    /** {@inheritDoc} */
    @Override
    public void beginAgain() {
        mPrefill.restart();
        mTiming.restart();
        begin();
    }

    /** {@inheritDoc} */
    @Override
    public boolean recordLoss(UpstreamEntry engine, AttemptEnd end) {
        return mResumeTarget.recordLoss(engine, end);
    }

    /** {@inheritDoc} It does not wait, since the run has freed its memory there. */
    @Override
    public void beginAtResumeTarget(AttemptEnd end) {
        mReservation.search(
                0,
                QueueTier.CONTINUED,
                mRelay.eventCount(),
                () -> mResumeTarget.filter(mEngines.all()),
                new ResumeTargetListener(end));
    }

    /** {@inheritDoc} */
    @Override
    public void recordFailure(UpstreamEntry engine, AttemptEnd end) {}

    /** {@inheritDoc} */
    @Override
    public void keep(UpstreamPort.StoredPrompt prompt) {
        mPrefill.keep(prompt);
    }

    /** {@inheritDoc} */
    @Override
    public UpstreamPort.RunPlan reserved(UpstreamPort.RunPlan plan) {
        return plan.withReservation(mReservation.takeReservation());
    }

    /** {@inheritDoc} */
    @Override
    public Usage takeUsage() {
        return new MemoryUsage(mReservation.takeMemory(), mTraits.eventTokens());
    }

    /** {@inheritDoc} */
    @Override
    public void recordFirstEvent(UpstreamEntry engine, long millis) {
        if (millis < ServingSettings.STREAM_SILENCE_MILLIS) {
            mContext.firstEventDelay().record(millis);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void recordCompletion(long events, long millis) {
        long output = events * mTraits.eventTokens();
        mContext.demandMeter()
                .recordRun(
                        mExecution.mService,
                        new DemandMeter.CompletedRun(mPrompt.promptTokens(), output, millis),
                        mContext.loop().millis());
        mReservation.forecast().recordOutput(output);
    }

    /** {@inheritDoc} */
    @Override
    public long recordRefusal() {
        mTiming.recordRefusal();
        long limit = (long) (mExecution.remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO);
        long delay =
                mContext.admission().backOffMillis(mEngines.untried())
                        + mReservation
                                .forecast()
                                .retryDelayMillis(
                                        mExecution.upstreams(UpstreamEntry.Role.DECODE), limit);
        mContext.metrics().recordRetryDelay(mTiming.isReturning(), delay);
        return delay;
    }

    /** {@inheritDoc} */
    @Override
    public void release() {
        mReservation.release();
        mPrefill.release();
    }

    /**
     * The memory of a run. Confined to the traffic loop.
     *
     * @param eventTokens the most tokens of one event
     */
    private record MemoryUsage(EngineMemory memory, int eventTokens) implements Usage {

        /** {@inheritDoc} */
        @Override
        public void grow(long events) {
            memory.grow(events * eventTokens);
        }

        /** {@inheritDoc} */
        @Override
        public void free() {
            memory.free();
        }
    }

    /**
     * Accepts a reservation.
     *
     * @param engine the engine that granted it
     * @param reservation the reservation; empty where the engines do not support reservations
     */
    private void accept(UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
        mReservation.accept(engine, reservation);
        mContext.retryPacer().recordGrant(mContext.loop().millis());
        mExecution
                .trace()
                .addStep("place@" + engine.id() + " known " + mContext.loads().tokens(engine));
    }

    /**
     * Passes the engine on, or searches for another one if it has stopped taking work since the
     * reservation.
     */
    private void onPromptReady(Optional<UpstreamPort.StoredPrompt> prompt) {
        if (mExecution.refuseIfQuarantined()) {
            prompt.ifPresent(mContext.port()::discard);
            return;
        }
        UpstreamEntry engine = mReservation.engine();
        if (!mEngines.stillTakesRun(engine)) {
            mExecution.trace().addStep("unavailable@" + engine.id());
            prompt.ifPresent(mPrefill::keep);
            mReservation.release();
            begin();
            return;
        }
        mListener.onReady(engine, prompt);
    }

    /** Receives the outcome of a search over all decode engines. Confined to the traffic loop. */
    private final class AnyEngineListener implements ReservationAllocator.Listener {

        /** {@inheritDoc} */
        @Override
        public void onGranted(
                UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
            mContext.metrics()
                    .recordPredictionError(
                            "place", mPredictedWaitMillis, mReservation.searchMillis());
            accept(engine, reservation);
            OptionalLong resumeAfter = mRelay.lastEventId();
            mPrefill.start(resumeAfter);
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(String detail) {
            mReservation.endSearch();
            if (!mExecution.isRunning()) {
                mContext.growthMargin().recordRefusal();
                mContext.metrics().searchRefused();
            }
            mExecution
                    .trace()
                    .addStep(
                            detail
                                    + ", prompt read in "
                                    + (long) mTiming.predictedPrefillMillis()
                                    + "ms at best");
            mListener.onNotFound(ResultCode.NO_PLACE, "no place");
        }
    }

    /**
     * Receives the outcome of a search at the engine that may still have the prompt. Confined to
     * the traffic loop.
     */
    private final class ResumeTargetListener implements ReservationAllocator.Listener {

        /** How the run ended that is to be resumed. */
        private final AttemptEnd mEnd;

        /**
         * Creates a listener.
         *
         * @param end how the run ended that is to be resumed
         */
        ResumeTargetListener(AttemptEnd end) {
            mEnd = end;
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(
                UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
            accept(engine, reservation);
            mResumeTarget.recordResume();
            mExecution.trace().addStep("prompt still there");
            onPromptReady(Optional.empty());
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(String detail) {
            mReservation.endSearch();
            mExecution.trace().addStep("not there again");
            if (mExecution.mAttempted.size() < mExecution.mRoute.maxAttempts()) {
                beginAgain();
            } else {
                mListener.onNotFound(mEnd.code(), mEnd.detail());
            }
        }
    }
}
