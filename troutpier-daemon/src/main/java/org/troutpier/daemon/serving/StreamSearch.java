package org.troutpier.daemon.serving;

import java.util.Optional;
import java.util.OptionalLong;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.WaitBudget;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Finds a decode engine for the next run of a stream: reserves memory there, then has a prefill
 * engine process the prompt. Confined to the traffic loop. Invariants: at most one search is in
 * progress; no prefill is sent before memory is reserved for its request; a search that is not
 * released ends with exactly one call of its listener.
 */
final class StreamSearch {

    private final StreamExecution mExecution;

    private final ServingContext mContext;

    private final EventRelay mRelay;

    private final DecodeEngines mEngines;

    private final StreamTiming mTiming;

    private final PrefillStage mPrefill;

    private final DecodeReservation mReservation;

    private final Listener mListener;

    /** The engine that still has the prompt of a run whose answer was lost. */
    private final ResumeTarget mResumeTarget = new ResumeTarget();

    private double mPredictedWaitMillis;

    /** Receives the outcome of a search, on the traffic loop. */
    interface Listener {

        /**
         * Called when the run may be sent.
         *
         * @param prompt the stored prefill result; empty where the decode engine processes the
         *     prompt
         */
        void onReady(UpstreamEntry engine, Optional<UpstreamPort.StoredPrompt> prompt);

        /**
         * Called when there is no engine for the run.
         *
         * @param code the result code that fits the last step
         */
        void onNotFound(ResultCode code, String detail);
    }

    StreamSearch(
            StreamExecution execution,
            EngineTraits traits,
            EventRelay relay,
            DecodeEngines engines,
            Listener listener) {
        mExecution = execution;
        mContext = execution.mContext;
        mRelay = relay;
        mEngines = engines;
        mListener = listener;
        PromptMetadata prompt = execution.mRequest.prompt().orElse(PromptMetadata.NONE);
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

    StreamTiming timing() {
        return mTiming;
    }

    DecodeReservation reservation() {
        return mReservation;
    }

    /** Searches for a decode engine with room, or fails at once where none can start in time. */
    void begin() {
        Optional<DecodeEngines.Obstacle> obstacle = mEngines.obstacle();
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
                                mEngines.all(), budget.tier(), budget.waitMillis(prediction));
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
                budget.tier(),
                mRelay.eventCount(),
                () -> mEngines.eligible(mTiming),
                new AnyEngineListener());
    }

    /** Searches for another decode engine, with a new wait budget. */
    void beginAgain() {
        mPrefill.restart();
        mTiming.restart();
        begin();
    }

    /**
     * Records a failed run of a stream that may be resumed.
     *
     * @return whether it may be resumed at its engine, which still has the prompt
     */
    boolean recordLoss(UpstreamEntry engine, AttemptEnd end) {
        return mResumeTarget.recordLoss(engine, end);
    }

    /**
     * Tries to reserve memory at the engine that lost the run's answer and may still have the
     * prompt. The search does not wait, since the run has freed its memory there.
     */
    void beginAtResumeTarget(AttemptEnd end) {
        mReservation.search(
                0,
                QueueTier.CONTINUED,
                mRelay.eventCount(),
                () -> mResumeTarget.filter(mEngines.all()),
                new ResumeTargetListener(end));
    }

    /** Keeps a prefill result that no decode engine has fetched, for the next run. */
    void keep(UpstreamPort.StoredPrompt prompt) {
        mPrefill.keep(prompt);
    }

    /** Ends the search, and releases all that no run uses. */
    void release() {
        mReservation.release();
        mPrefill.release();
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
