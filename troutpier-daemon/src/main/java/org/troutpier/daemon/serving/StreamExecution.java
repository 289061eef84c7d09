package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.WaitBudget;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a streaming model request with separate prefill and decode engines: reserves memory at a
 * decode engine, has a prefill engine process the prompt, then relays the decode engine's events to
 * the caller. Confined to the traffic loop. Invariants: no prefill is sent before memory is
 * reserved for its request; a stream is ended as complete only where its run was complete; all
 * events of a stream, over all tries of its caller, are written by one software version; each
 * reservation is used or released.
 */
final class StreamExecution extends RequestExecution {

    private final EngineTraits mEngineTraits;

    private final PromptMetadata mPrompt;

    private final EventRelay mRelay;

    private final StreamTiming mTiming;

    private final PrefillStage mPrefill;

    private final DecodeReservation mReservation;

    private final DecodeEngines mEngines = new DecodeEngines(this);

    /** The decode run in progress, or null. */
    private StreamRun mRun;

    /** The engine that still has the prompt of a run whose answer was lost. */
    private final ResumeTarget mResumeTarget = new ResumeTarget();

    private double mPredictedWaitMillis;

    /** Whether the head of the answer was sent to the caller. */
    private boolean mStreamStarted;

    StreamExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            EngineTraits engineTraits,
            CallerChannel caller) {
        super(context, request, route, service, caller);
        mEngineTraits = engineTraits;
        mPrompt = request.prompt().orElse(PromptMetadata.NONE);
        PrefillEngines prefillEngines =
                new PrefillEngines(
                        context,
                        () -> upstreams(UpstreamEntry.Role.PREFILL),
                        service,
                        mPrompt.promptTokens());
        mTiming = new StreamTiming(this, prefillEngines, mEngines);
        mPrefill = new PrefillStage(this, engineTraits, prefillEngines, mTiming, this::startRun);
        mReservation = new DecodeReservation(context, service, engineTraits, flowKey(), mPrompt);
        mRelay =
                new EventRelay(
                        caller,
                        request.lastEventId(),
                        () -> mEngines.bindTo(mReservation.engine()));
    }

    /** {@inheritDoc} */
    @Override
    void start() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (mPrompt.promptTokens() > mEngineTraits.memoryTokens()) {
            refuse(ResultCode.NO_PLACE, "larger than an engine's memory", 0);
        } else if (mRequest.isResumed()) {
            mEngines.resolveOrigin(this::onOriginResolved);
        } else {
            startSearch();
        }
    }

    /** Continues a stream that a caller resumes, or refuses it if its origin is unknown. */
    private void onOriginResolved(boolean known) {
        if (known) {
            startSearch();
        } else {
            refuse(
                    ResultCode.ORIGIN_UNKNOWN,
                    "no router knows what began the stream",
                    ServingSettings.RETRY_AFTER_MILLIS);
        }
    }

    private void startSearch() {
        mTiming.recordArrival();
        search();
    }

    /** Searches for a decode engine with room, or refuses at once what cannot start in time. */
    private void search() {
        Optional<DecodeEngines.Obstacle> obstacle = mEngines.obstacle();
        if (obstacle.isPresent()) {
            failWithoutRun(obstacle.get().code(), obstacle.get().detail());
            return;
        }
        WaitBudget budget = mTiming.waitBudget();
        WaitBudget.Prediction prediction = mTiming.prediction();
        if (mContext.admission().backOffMillis(mEngines.untried())
                > budget.waitMillis(prediction)) {
            failWithoutRun(ResultCode.NO_PLACE, "engines asked for a back-off");
            return;
        }
        mPredictedWaitMillis =
                mReservation
                        .forecast()
                        .predictedWaitMillis(
                                mEngines.all(), budget.tier(), budget.waitMillis(prediction));
        if (budget.isExceededBy(mPredictedWaitMillis, prediction)) {
            mContext.metrics().refusedAtOnce(budget.tier());
            mTrace.addStep("predicted wait for memory " + (long) mPredictedWaitMillis + "ms");
            failWithoutRun(ResultCode.NO_PLACE, "no place in time");
            return;
        }
        mTiming.recordSearch();
        mReservation.search(
                budget.waitMillis(prediction),
                budget.tier(),
                mRelay.eventCount(),
                () -> mEngines.eligible(mTiming),
                new SearchListener());
    }

    /**
     * Tries to reserve memory at the engine that lost the run's answer and may still have the
     * prompt. The search does not wait, since the run has freed its memory there.
     */
    private void searchResumeTarget(AttemptEnd end) {
        mReservation.search(
                0,
                QueueTier.CONTINUED,
                mRelay.eventCount(),
                () -> mResumeTarget.filter(mEngines.all()),
                new ResumeSearchListener(end));
    }

    /**
     * Accepts a reservation.
     *
     * @param engine the engine that granted it
     * @param reservation the reservation; empty where the engines do not support reservations
     */
    private void acceptReservation(
            UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
        mReservation.accept(engine, reservation);
        mContext.retryPacer().recordGrant(mContext.loop().millis());
        mTrace.addStep("place@" + engine.id() + " known " + mContext.loads().tokens(engine));
    }

    /**
     * Sends the request to the decode engine, or searches for another one if that engine has
     * stopped taking work since the reservation.
     *
     * @param prompt the stored prefill result; empty where the decode engine processes the prompt
     */
    private void startRun(Optional<UpstreamPort.StoredPrompt> prompt) {
        if (refuseIfQuarantined()) {
            prompt.ifPresent(mContext.port()::discard);
            return;
        }
        UpstreamEntry engine = mReservation.engine();
        if (!mEngines.stillTakesRun(engine)) {
            mTrace.addStep("unavailable@" + engine.id());
            prompt.ifPresent(mPrefill::keep);
            mReservation.release();
            search();
            return;
        }
        Optional<RequestArrivals.Arrival> arrival = mArrivals.begin();
        if (arrival.isEmpty()) {
            prompt.ifPresent(mContext.port()::discard);
            failWithoutPermit();
            return;
        }
        recordDispatch(engine, "decode");
        mRelay.startRun();
        UpstreamPort.RunPlan plan =
                UpstreamPort.RunPlan.plain(arrival.get(), remainingMillis(), priority())
                        .withReservation(mReservation.takeReservation())
                        .withResumeAfter(mRelay.lastEventId());
        mRun =
                new StreamRun(
                        mContext,
                        engine,
                        prompt,
                        mRelay,
                        mCaller,
                        new EventGaps(mContext, mRoute, engine, mTrace),
                        mTrace,
                        new RunListener());
        mRun.start(mRequest, prompt.map(plan::withPrompt).orElse(plan));
    }

    /**
     * Refuses a request of which no run is in progress, or aborts a stream that cannot be resumed.
     *
     * @param code the result code that fits the last step
     */
    private void failWithoutRun(ResultCode code, String detail) {
        if (mStreamStarted) {
            abortStream(detail);
        } else {
            mTiming.recordRefusal();
            long delay = mEngines.retryDelayMillis(mReservation.forecast());
            mContext.metrics().recordRetryDelay(mTiming.isReturning(), delay);
            refuse(code, detail, delay);
        }
    }

    /** Ends the request because the budget of extra calls does not allow its next call. */
    void failWithoutPermit() {
        failWithoutRun(ResultCode.UPSTREAMS_REFUSED, BUDGET_USED_UP);
    }

    /** Decides how to continue after a failed run. */
    private void onRunFailed(StreamRun run, AttemptEnd end) {
        UpstreamEntry engine = run.engine();
        long writing = run.writingMillis();
        recordFailure(engine, end);
        if (end.notStarted() || mRoute.kind() == Route.Kind.RESUMABLE_STREAM) {
            afterCrashAttribution(engine, end, writing, ended -> retryRun(engine, end, ended));
            return;
        }
        afterCrashAttribution(engine, end, writing, ended -> {});
        failWithoutRun(end.code(), end.detail());
    }

    /**
     * Starts the search for another run if one is allowed.
     *
     * @param upstream the engine of the failed run
     * @param ended whether the engine's process is known to have ended, and its memory with it
     */
    private void retryRun(UpstreamEntry upstream, AttemptEnd end, boolean ended) {
        boolean resumable = mRoute.kind() == Route.Kind.RESUMABLE_STREAM;
        if (resumable && !ended && mResumeTarget.recordLoss(upstream, end)) {
            if (mayResend()) {
                searchResumeTarget(end);
                return;
            }
        } else if (mayRetry(upstream, end)) {
            restartSearch();
            return;
        }
        failWithoutRun(end.code(), end.detail());
    }

    /** Searches for another decode engine, with a new wait budget. */
    private void restartSearch() {
        mPrefill.restart();
        mTiming.restart();
        search();
    }

    /** {@inheritDoc} */
    @Override
    protected void releaseUpstream() {
        if (mRun != null) {
            mRun.abort();
        }
        mReservation.release();
        mPrefill.release();
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isAtUpstream() {
        return mRun != null && mRun.mayHaveBeenSent();
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isStreaming() {
        return mStreamStarted;
    }

    /** Receives the outcome of a search over all decode engines. Confined to the traffic loop. */
    private final class SearchListener implements ReservationAllocator.Listener {

        /** {@inheritDoc} */
        @Override
        public void onGranted(
                UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
            mContext.metrics()
                    .recordPredictionError(
                            "place", mPredictedWaitMillis, mReservation.searchMillis());
            acceptReservation(engine, reservation);
            mPrefill.start(mRelay.lastEventId());
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(String detail) {
            mReservation.endSearch();
            mContext.growthMargin().recordRefusal();
            mContext.metrics().searchRefused();
            mTrace.addStep(
                    detail
                            + ", prompt read in "
                            + (long) mTiming.predictedPrefillMillis()
                            + "ms at best");
            failWithoutRun(ResultCode.NO_PLACE, "no place");
        }
    }

    /**
     * Receives the outcome of a search at the engine that may still have the prompt. Confined to
     * the traffic loop.
     */
    private final class ResumeSearchListener implements ReservationAllocator.Listener {

        /** How the run ended that is to be resumed. */
        private final AttemptEnd mEnd;

        /**
         * Creates a listener.
         *
         * @param end how the run ended that is to be resumed
         */
        ResumeSearchListener(AttemptEnd end) {
            mEnd = end;
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(
                UpstreamEntry engine, Optional<UpstreamPort.Reservation> reservation) {
            acceptReservation(engine, reservation);
            mResumeTarget.recordResume();
            mTrace.addStep("prompt still there");
            startRun(Optional.empty());
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(String detail) {
            mReservation.endSearch();
            mTrace.addStep("not there again");
            if (mAttempted.size() < mRoute.maxAttempts()) {
                restartSearch();
            } else {
                failWithoutRun(mEnd.code(), mEnd.detail());
            }
        }
    }

    /** Receives what happens to a run at a decode engine. Confined to the traffic loop. */
    private final class RunListener implements StreamRun.Listener {

        /** {@inheritDoc} */
        @Override
        public boolean mayResume() {
            return mRoute.kind() == Route.Kind.RESUMABLE_STREAM
                    && mAttempted.size() < mRoute.maxAttempts();
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(UpstreamPort.Head head) {
            if (!mStreamStarted) {
                mStreamStarted = true;
                mTrace.addStep("head");
                mCaller.beginStream(head.status(), head.headers());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEvents(long events) {
            mReservation.recordEvents(events);
        }

        /** {@inheritDoc} */
        @Override
        public void onFirstEvent() {
            markIfLate(mTrace.elapsedMillis());
            mContext.metrics().recordStage("first-event", mTrace.elapsedMillis());
        }

        /** {@inheritDoc} */
        @Override
        public void onClosed() {
            mRun = null;
            mReservation.freeMemory();
        }

        /** {@inheritDoc} */
        @Override
        public void onCompleted(UpstreamEntry engine, long millis, boolean framed) {
            recordSuccess(engine, "stream", millis, framed);
            long output = mRelay.eventCount() * mEngineTraits.eventTokens();
            mContext.demandMeter()
                    .recordRun(
                            mService,
                            new DemandMeter.CompletedRun(mPrompt.promptTokens(), output, millis),
                            mContext.loop().millis());
            mReservation.forecast().recordOutput(output);
            mTrace.addStep("events=" + mRelay.eventCount());
            mCaller.endStream();
            finishAnswered();
        }

        /** {@inheritDoc} */
        @Override
        public void onErrorAnswer(StreamRun run, BufferedResponse answer) {
            AttemptEnd end = AttemptEnds.end(answer.head());
            if (end.notStarted() && end.leaving()) {
                run.prompt().ifPresent(mPrefill::keep);
            } else if (end.notStarted()) {
                run.prompt().ifPresent(mContext.port()::discard);
            }
            boolean ownFailure = answer.head().verdict() == UpstreamPort.Verdict.OWN_FAILURE;
            if (ownFailure && !mStreamStarted && mRoute.kind() != Route.Kind.RESUMABLE_STREAM) {
                recordFailure(run.engine(), end);
                mTrace.markNotable();
                mTrace.addStep("status=" + answer.head().status());
                answer.sendTo(mCaller);
                finishAnswered();
                return;
            }
            onRunFailed(run, end);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailed(StreamRun run, AttemptEnd end) {
            if (end.notStarted()) {
                run.prompt().ifPresent(mPrefill::keep);
            }
            onRunFailed(run, end);
        }
    }
}
