package org.troutpier.daemon.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.cluster.DemandMeter;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.WaitBudget;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a streaming model request with separate prefill and decode engines: reserves memory at a
 * decode engine, has a prefill engine process the prompt, then relays the decode engine's events to
 * the caller. Confined to the traffic loop. Invariants: no prefill is sent before memory is
 * reserved for its request; a stream is ended as complete only where its run was complete; each
 * reservation is used or released.
 */
final class StreamExecution extends RequestExecution {

    private final EngineTraits mEngineTraits;

    private final EventRelay mRelay;

    private final PrefillEngines mPrefillEngines;

    /** Prefill engines that were tried for the current run. */
    private final Set<UpstreamIncarnation> mTriedPrefillEngines = new HashSet<>();

    private final DecodeReservation mReservation;

    /** The prefill in progress, or null. */
    private PrefillCall mPrefillCall;

    /** The queue tier when the last prefill was sent. */
    private QueueTier mPrefillTier = QueueTier.IN_TIME;

    /** The decode run in progress, or null. */
    private StreamRun mRun;

    /** A prefill result that no decode engine has fetched, kept for the next one; or null. */
    private UpstreamPort.StoredPrompt mStoredPrompt;

    /** Until when {@link #mStoredPrompt} can be fetched, milliseconds on the loop's clock. */
    private long mStoredPromptExpiry;

    /** The engine that still has the prompt of a run whose answer was lost. */
    private final ResumeTarget mResumeTarget = new ResumeTarget();

    private double mPredictedWaitMillis;

    /** Whether the request was refused recently and this is the caller's retry. */
    private boolean mReturning;

    /** Whether this is not the first search, so that an earlier attempt has failed. */
    private boolean mSearchedBefore;

    /**
     * When the current wait budget began, milliseconds since the request arrived: 0 before the
     * stream was started, then the time at which the search for another run began.
     */
    private long mWaitStart;

    /** Whether the head of the answer was sent to the caller. */
    private boolean mStreamStarted;

    /** Whether a prefill was already sent, so that the next one counts as an extra call. */
    private boolean mPrefilledBefore;

    StreamExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            EngineTraits engineTraits,
            CallerChannel caller) {
        super(context, request, route, service, caller);
        mEngineTraits = engineTraits;
        mPrefillEngines =
                new PrefillEngines(
                        context,
                        () -> upstreams(UpstreamEntry.Role.PREFILL),
                        service,
                        promptTokens());
        mRelay = new EventRelay(caller, request.lastEventId());
        mReservation =
                new DecodeReservation(
                        context,
                        service,
                        engineTraits,
                        flowKey(),
                        promptTokens(),
                        maxTokens(),
                        hintTokens());
    }

    /** {@inheritDoc} */
    @Override
    void start() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (promptTokens() > mEngineTraits.memoryTokens()) {
            refuse(ResultCode.NO_PLACE, "larger than an engine's memory", 0);
            return;
        }
        mReturning = isReturning();
        if (!mReturning) {
            mContext.demandMeter()
                    .recordRequest(mService, promptTokens(), mContext.loop().millis());
        }
        search();
    }

    /** Searches for a decode engine with room, or refuses at once what cannot start in time. */
    private void search() {
        if (untriedEngines().isEmpty()) {
            failWithoutRun(ResultCode.NO_PLACE, "no engine is left");
            return;
        }
        WaitBudget budget = waitBudget();
        WaitBudget.Prediction prediction = prediction();
        if (mContext.admission().backOffMillis(untriedEngines()) > budget.waitMillis(prediction)) {
            failWithoutRun(ResultCode.NO_PLACE, "engines asked for a back-off");
            return;
        }
        mPredictedWaitMillis =
                mReservation.predictedWaitMillis(
                        upstreams(UpstreamEntry.Role.DECODE),
                        budget.tier(),
                        budget.waitMillis(prediction));
        if (budget.isExceededBy(mPredictedWaitMillis, prediction)) {
            mContext.metrics().refusedAtOnce(budget.tier());
            mTrace.addStep("predicted wait for memory " + (long) mPredictedWaitMillis + "ms");
            failWithoutRun(ResultCode.NO_PLACE, "no place in time");
            return;
        }
        mSearchedBefore = true;
        mReservation.search(
                budget.waitMillis(prediction),
                budget.tier(),
                mRelay.eventCount(),
                this::eligibleEngines,
                new SearchListener());
    }

    /** Returns how long the request may wait for a reservation. */
    private WaitBudget waitBudget() {
        return waitBudget(tier());
    }

    private WaitBudget waitBudget(QueueTier tier) {
        long elapsed = mTrace.elapsedMillis() - mWaitStart;
        return new WaitBudget(mRoute.targetMillis(), elapsed, remainingMillis(), tier);
    }

    /** Returns the queue tier, which depends on whether the request can still meet its target. */
    private QueueTier tier() {
        if (mStreamStarted || mRequest.lastEventId().isPresent()) {
            return QueueTier.CONTINUED;
        }
        boolean late = mSearchedBefore && mTrace.elapsedMillis() >= mRoute.targetMillis();
        return late || mReturning ? QueueTier.LATE : QueueTier.IN_TIME;
    }

    /** Predicts the time from the reservation to the first event. */
    private WaitBudget.Prediction prediction() {
        return prediction(Set.of());
    }

    /**
     * Predicts the time from the reservation to the first event.
     *
     * @param excluded the prefill engines that are not to be used
     */
    private WaitBudget.Prediction prediction(Set<UpstreamIncarnation> excluded) {
        return new WaitBudget.Prediction(
                mPrefillEngines.predictedMillis(excluded)
                        + mContext.prefillExcess().predictedMillis(),
                mContext.firstEventDelay().predictedMillis());
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
                () -> mResumeTarget.filter(upstreams(UpstreamEntry.Role.DECODE)),
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

    /** Returns whether the request was refused recently and this is the caller's retry. */
    private boolean isReturning() {
        long now = mContext.loop().millis();
        return mRequest.prompt()
                .filter(prompt -> mContext.recentRefusals().isReturning(prompt, now))
                .isPresent();
    }

    /**
     * Returns the decode engines at which memory may be reserved now; none while the prefill
     * engines could not process the prompt in time.
     */
    private List<UpstreamEntry> eligibleEngines() {
        return waitBudget().allowsPrefill(prediction()) ? untriedEngines() : List.of();
    }

    /** Returns the decode engines to which the request may still be sent. */
    private List<UpstreamEntry> untriedEngines() {
        Set<UpstreamIncarnation> excluded = excludedUpstreams();
        return upstreams(UpstreamEntry.Role.DECODE).stream()
                .filter(entry -> !excluded.contains(entry.incarnation()))
                .toList();
    }

    /** Returns the most memory that the request can take, in tokens. */
    private long maxTokens() {
        return mRequest.prompt().map(PromptMetadata::maxTokens).orElse(0L);
    }

    /** Returns the caller's guess of the output, in tokens; 0 if there is none. */
    private long hintTokens() {
        return mRequest.prompt().map(PromptMetadata::hintTokens).orElse(0);
    }

    private long promptTokens() {
        return mRequest.prompt().map(PromptMetadata::promptTokens).orElse(0);
    }

    /**
     * Has the prompt processed by a prefill engine. Where there is none, none admits the call, or
     * the budget allows no further extra call, the decode engine processes the prompt itself, in
     * the run that is sent to it anyway and needs no extra call.
     */
    private void prefill() {
        if (refuseIfQuarantined()) {
            return;
        }
        if (mStoredPrompt != null && isStoredPromptValid()) {
            UpstreamPort.StoredPrompt stored = mStoredPrompt;
            mStoredPrompt = null;
            mTrace.addStep("prompt kept");
            startRun(Optional.of(stored));
            return;
        }
        discardStoredPrompt();
        List<UpstreamEntry> engines = mPrefillEngines.inOrder(mTriedPrefillEngines);
        if (engines.isEmpty()) {
            mTrace.addStep("no prefill engine");
            startRun(Optional.empty());
            return;
        }
        if (mPrefilledBefore && !tryAcquireExtraCall()) {
            startRun(Optional.empty());
            return;
        }
        Optional<UpstreamEntry> admitted = mContext.admission().acquireFirst(engines, flowKey());
        if (admitted.isEmpty()) {
            mTrace.addStep("no prefill engine admits the call");
            startRun(Optional.empty());
            return;
        }
        UpstreamEntry engine = admitted.get();
        mPrefillEngines.recordPassedOver(engines, engine, mTrace);
        mTriedPrefillEngines.add(engine.incarnation());
        mPrefillTier = tier();
        boolean measurable =
                mContext.loads().tokens(engine) == 0 && !mPrefilledBefore && !mReturning;
        mPrefilledBefore = true;
        PrefillCall.Prompt prompt = new PrefillCall.Prompt(mService, promptTokens(), measurable);
        mPrefillCall = new PrefillCall(mContext, prompt, engine, mTrace, new PrefillListener());
        mPrefillCall.send(
                mRequest,
                UpstreamPort.RunPlan.plain(remainingMillis(), priority())
                        .withResumeAfter(mRelay.lastEventId()));
    }

    /**
     * Returns whether the stored prefill result has not expired and its engine has not restarted.
     */
    private boolean isStoredPromptValid() {
        return mContext.loop().millis() < mStoredPromptExpiry
                && !mContext.directory().hasRestarted(mStoredPrompt.upstream().incarnation());
    }

    /**
     * Sends the request to the decode engine, or searches for another one if that engine has
     * stopped taking work since the reservation: the prefill can take longer than the time for
     * which a leaving upstream still accepts new requests.
     *
     * @param prompt the stored prefill result; empty where the decode engine processes the prompt
     */
    private void startRun(Optional<UpstreamPort.StoredPrompt> prompt) {
        if (refuseIfQuarantined()) {
            prompt.ifPresent(mContext.port()::discard);
            return;
        }
        UpstreamEntry engine = mReservation.engine();
        boolean acceptsWork =
                mContext.directory()
                        .usable(engine)
                        .filter(listed -> listed.role() == UpstreamEntry.Role.DECODE)
                        .filter(mContext.admission()::stillAdmits)
                        .isPresent();
        if (!acceptsWork) {
            mTrace.addStep("unavailable@" + engine.id());
            prompt.ifPresent(stored -> mStoredPrompt = stored);
            mReservation.release();
            search();
            return;
        }
        recordDispatch(engine, "decode");
        mRelay.startRun();
        UpstreamPort.RunPlan plan =
                UpstreamPort.RunPlan.plain(remainingMillis(), priority())
                        .withReservation(mReservation.takeReservation())
                        .withResumeAfter(mRelay.lastEventId());
        mRun = new StreamRun(engine, prompt);
        mRun.start(prompt.map(plan::withPrompt).orElse(plan));
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
            long now = mContext.loop().millis();
            mRequest.prompt()
                    .ifPresent(prompt -> mContext.recentRefusals().recordRefusal(prompt, now));
            long limit = (long) (remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO);
            long backOff = mContext.admission().backOffMillis(untriedEngines());
            long delay = mReservation.retryDelayMillis(upstreams(UpstreamEntry.Role.DECODE), limit);
            mContext.metrics().recordRetryDelay(mReturning, delay);
            refuse(code, detail, backOff + delay);
        }
    }

    /** Decides how to continue after a failed run. */
    private void onRunFailed(UpstreamEntry upstream, AttemptEnd end) {
        recordFailure(upstream, end);
        if (end.notStarted() || mRoute.kind() == Route.Kind.RESUMABLE_STREAM) {
            afterCrashAttribution(upstream, end, ended -> retryRun(upstream, end, ended));
            return;
        }
        afterCrashAttribution(upstream, end, ended -> {});
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
        mTriedPrefillEngines.clear();
        mWaitStart = mStreamStarted ? mTrace.elapsedMillis() : 0;
        search();
    }

    /** {@inheritDoc} */
    @Override
    protected void releaseUpstream() {
        if (mPrefillCall != null) {
            mPrefillCall.abort();
            mPrefillCall = null;
        }
        if (mRun != null) {
            mRun.abort();
        }
        mReservation.release();
        discardStoredPrompt();
    }

    /** Frees the stored prefill result that no decode engine has fetched. */
    private void discardStoredPrompt() {
        if (mStoredPrompt != null) {
            mContext.port().discard(mStoredPrompt);
            mStoredPrompt = null;
        }
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isAtUpstream() {
        return mRun != null;
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
            prefill();
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
                            + (long) mPrefillEngines.predictedMillis(Set.of())
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

    /** Receives the outcome of a prefill. Confined to the traffic loop. */
    private final class PrefillListener implements PrefillCall.Listener {

        /** {@inheritDoc} */
        @Override
        public void onPrefilled(UpstreamPort.StoredPrompt prompt) {
            mPrefillCall = null;
            long now = mContext.loop().millis();
            mStoredPromptExpiry =
                    now + mEngineTraits.kvHandleMillis() - ServingSettings.FETCH_MARGIN_MILLIS;
            startRun(Optional.of(prompt));
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayBeInTimeElsewhere() {
            return waitBudget(mPrefillTier).allowsPrefill(prediction(mTriedPrefillEngines));
        }

        /** {@inheritDoc} */
        @Override
        public void onFailed(UpstreamEntry engine, AttemptEnd end) {
            mPrefillCall = null;
            afterCrashAttribution(engine, end, ended -> StreamExecution.this.prefill());
        }
    }

    /** One run at a decode engine. Confined to the traffic loop. */
    private final class StreamRun extends UpstreamRun {

        /** The stored prefill result; empty where the decode engine processes the prompt. */
        private final Optional<UpstreamPort.StoredPrompt> mPrompt;

        private final EventGaps mGaps;

        /** A response that is not a success and therefore no event stream, or null. */
        private BufferedResponse mErrorResponse;

        /**
         * Creates a run.
         *
         * @param prompt the stored prefill result; empty where the decode engine processes the
         *     prompt
         */
        StreamRun(UpstreamEntry upstream, Optional<UpstreamPort.StoredPrompt> prompt) {
            super(StreamExecution.this.mContext, upstream);
            mPrompt = prompt;
            mGaps = new EventGaps(mContext, mRoute, upstream, mTrace);
        }

        void start(UpstreamPort.RunPlan plan) {
            send(mRequest, plan);
            mCaller.onWritable(() -> setAutoRead(true));
            restartSilenceTimer();
        }

        /** Restarts the silence timer where the stream can be resumed at another engine. */
        private void restartSilenceTimer() {
            boolean canResume =
                    mRoute.kind() == Route.Kind.RESUMABLE_STREAM
                            && mAttempted.size() < mRoute.maxAttempts();
            if (canResume) {
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
            mRun = null;
            mReservation.freeMemory();
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(UpstreamPort.Head head) {
            if (head.verdict() != UpstreamPort.Verdict.SUCCESS) {
                mErrorResponse = new BufferedResponse(head);
                return;
            }
            if (!mStreamStarted) {
                mStreamStarted = true;
                mTrace.addStep("head");
                mCaller.beginStream(head.status(), head.headers());
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
            } catch (org.troutpier.common.result.TroutpierException exception) {
                abort();
                onFailure(AttemptEnd.failed(exception.code(), exception.detail()));
                return;
            }
            mGaps.onEvents(mRelay.eventCount());
            mReservation.recordEvents(mRelay.eventCount() - before);
            if (before == 0 && mRelay.eventCount() > 0) {
                mTrace.addStep("first event");
                mContext.firstEventDelay().record(elapsedMillis());
                markIfLate(mTrace.elapsedMillis());
                mContext.metrics().recordStage("first-event", mTrace.elapsedMillis());
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
                onErrorResponse();
                return;
            }
            if (!mRelay.atEventBoundary()) {
                onFailure(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "ended inside an event"));
                return;
            }
            close();
            recordSuccess(mUpstream, "stream", elapsedMillis());
            long output = mRelay.eventCount() * mEngineTraits.eventTokens();
            mContext.demandMeter()
                    .recordRun(
                            mService,
                            new DemandMeter.CompletedRun(promptTokens(), output, elapsedMillis()),
                            mContext.loop().millis());
            mReservation.recordOutput(output);
            mTrace.addStep("events=" + mRelay.eventCount());
            mCaller.endStream();
            finishAnswered();
        }

        /** Handles a complete response that is no event stream. */
        private void onErrorResponse() {
            UpstreamPort.Head head = mErrorResponse.head();
            AttemptEnd end = AttemptEnds.end(head);
            close();
            if (end.notStarted() && end.leaving()) {
                mPrompt.ifPresent(prompt -> mStoredPrompt = prompt);
            } else if (end.notStarted()) {
                mPrompt.ifPresent(mContext.port()::discard);
            }
            boolean ownFailure = head.verdict() == UpstreamPort.Verdict.OWN_FAILURE;
            if (ownFailure && !mStreamStarted && mRoute.kind() != Route.Kind.RESUMABLE_STREAM) {
                recordFailure(mUpstream, end);
                mTrace.markNotable();
                mTrace.addStep("status=" + head.status());
                mErrorResponse.sendTo(mCaller);
                finishAnswered();
                return;
            }
            onRunFailed(mUpstream, end);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(AttemptEnd end) {
            close();
            refundIfUnreached(end);
            if (end.notStarted()) {
                mPrompt.ifPresent(prompt -> mStoredPrompt = prompt);
            }
            onRunFailed(mUpstream, end);
        }
    }
}
