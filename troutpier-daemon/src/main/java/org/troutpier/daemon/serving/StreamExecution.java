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
 * Serves a request of a model: finds memory at a decode engine, has a prefill engine read the
 * prompt, then hands the decode engine's events on as they come. Confined to the traffic loop.
 * Invariants: no prompt is read before memory is found for it; a stream that was begun ends whole
 * only where its run did; memory set aside is used or given back.
 */
final class StreamExecution extends RequestExecution {

    /** What the service's engines can do. */
    private final EngineTraits mEngineTraits;

    /** Hands events to the caller. */
    private final EventRelay mRelay;

    /** The prefill engines that were tried for this run. */
    private final Set<UpstreamIncarnation> mTriedPrefillEngines = new HashSet<>();

    /** Where it runs or is going to run. */
    private final DecodeReservation mReservation;

    /** The prompt's reading, or null. */
    private PrefillCall mPrefillCall;

    /** The run under way, or null. */
    private StreamRun mRun;

    /** A prompt that was read and not used, to be used at another decode engine; or null. */
    private UpstreamPort.StoredPrompt mStoredPrompt;

    /** Until when it can be used, milliseconds. */
    private long mStoredPromptExpiry;

    /** Where the prompt of a run whose answer was lost still is. */
    private final ResumeTarget mResumeTarget = new ResumeTarget();

    /** How long the wait for a place was predicted to be, milliseconds. */
    private double mPredictedWaitMillis;

    /** Whether it was refused lately and comes back as told. */
    private boolean mReturning;

    /** Whether a place was looked for before, so that this time something has failed. */
    private boolean mSearchedBefore;

    /** When the caller had the last event, or 0 before; milliseconds since the request came. */
    private long mWaitStart;

    /** Whether the caller has the stream's head. */
    private boolean mStreamStarted;

    /** Whether a prompt was sent to be read before, so that the next one counts as extra. */
    private boolean mPrefilledBefore;

    /**
     * Creates an execution.
     *
     * @param context the collaborators
     * @param request the request
     * @param route its route
     * @param service the service that was chosen among the route's
     * @param engine what the service's engines can do
     * @param caller the way to answer
     */
    StreamExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            EngineTraits engine,
            CallerChannel caller) {
        super(context, request, route, service, caller);
        mEngineTraits = engine;
        mRelay = new EventRelay(caller, request.lastEventId());
        mReservation =
                new DecodeReservation(
                        context, service, engine, flowKey(), promptTokens(), maxTokens());
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

    /** Looks for a place at a decode engine, or refuses at once what cannot start in time. */
    private void search() {
        if (untriedEngines().isEmpty()) {
            failWithoutRun(ResultCode.NO_PLACE, "no engine is left");
            return;
        }
        WaitBudget window = waitBudget();
        WaitBudget.Prediction prediction = prediction();
        if (mContext.admission().backOffMillis(untriedEngines()) > window.waitMillis(prediction)) {
            failWithoutRun(ResultCode.NO_PLACE, "engines asked for a back-off");
            return;
        }
        mPredictedWaitMillis =
                mReservation.predictedWaitMillis(upstreams(UpstreamEntry.Role.DECODE));
        if (window.isExceededBy(mPredictedWaitMillis, prediction)) {
            mTrace.addStep("room predicted in " + (long) mPredictedWaitMillis + "ms");
            failWithoutRun(ResultCode.NO_PLACE, "no place in time");
            return;
        }
        mSearchedBefore = true;
        mReservation.search(
                window.waitMillis(prediction),
                window.tier(),
                mRelay.eventCount(),
                this::eligibleEngines,
                new SearchListener());
    }

    /**
     * Returns how long the request may wait.
     *
     * @return the window
     */
    private WaitBudget waitBudget() {
        long elapsed = mTrace.elapsedMillis() - mWaitStart;
        return new WaitBudget(mRoute.targetMillis(), elapsed, remainingMillis(), tier());
    }

    /**
     * Returns whether the request can still be in time.
     *
     * @return its standing
     */
    private QueueTier tier() {
        if (mStreamStarted || mRequest.lastEventId().isPresent()) {
            return QueueTier.CONTINUED;
        }
        boolean late = mSearchedBefore && mTrace.elapsedMillis() >= mRoute.targetMillis();
        return late || mReturning ? QueueTier.LATE : QueueTier.IN_TIME;
    }

    /**
     * Predicts what follows once a place was found.
     *
     * @return the prediction
     */
    private WaitBudget.Prediction prediction() {
        return new WaitBudget.Prediction(
                predictedPrefillMillis() + mContext.prefillExcess().predictedMillis(),
                mContext.firstEventDelay().predictedMillis());
    }

    /**
     * Looks for a place at the engine that lost the run's answer, whose memory it left just now.
     *
     * @param end how the run ended
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
     * Takes a place.
     *
     * @param engine where it is
     * @param place the place; empty where engines do not set places aside
     */
    private void acceptReservation(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
        mReservation.accept(engine, place);
        mContext.retryPacer().recordGrant(mContext.loop().millis());
        mTrace.addStep("place@" + engine.id() + " known " + mContext.loads().tokens(engine));
    }

    /**
     * Returns whether the request was refused lately and comes back as told.
     *
     * @return whether it does
     */
    private boolean isReturning() {
        long now = mContext.loop().millis();
        return mRequest.prompt()
                .filter(own -> mContext.recentRefusals().isReturning(own, now))
                .isPresent();
    }

    /**
     * Returns the decode engines that may be asked for a place now.
     *
     * @return the engines; none while the prefill engines could not read the prompt in time
     */
    private List<UpstreamEntry> eligibleEngines() {
        return waitBudget().allowsPrefill(prediction()) ? untriedEngines() : List.of();
    }

    /**
     * Returns the decode engines that have not had the request.
     *
     * @return the engines
     */
    private List<UpstreamEntry> untriedEngines() {
        Set<UpstreamIncarnation> excluded = excludedUpstreams();
        return upstreams(UpstreamEntry.Role.DECODE).stream()
                .filter(entry -> !excluded.contains(entry.incarnation()))
                .toList();
    }

    /**
     * Predicts how long the prompt's reading takes at the prefill engine with the least to read.
     *
     * @return milliseconds; 0 where the engines' pace is not known or none reads prompts
     */
    private double predictedPrefillMillis() {
        List<UpstreamEntry> prefill =
                mContext.loads().byTokens(upstreams(UpstreamEntry.Role.PREFILL), Set.of());
        if (prefill.isEmpty()) {
            return 0;
        }
        long queue = mContext.loads().tokens(prefill.get(0));
        return mContext.demandFor(mService).reading().predictedMillis(queue + promptTokens());
    }

    /**
     * Returns how much memory the request takes at most.
     *
     * @return tokens
     */
    private long maxTokens() {
        return mRequest.prompt().map(PromptMetadata::maxTokens).orElse(0L);
    }

    /**
     * Returns the prompt's length.
     *
     * @return tokens
     */
    private long promptTokens() {
        return mRequest.prompt().map(PromptMetadata::promptTokens).orElse(0);
    }

    /**
     * Has the prompt read, or has the decode engine read it where nobody else can or no extra call
     * is left: its run is the request's first all the same.
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
        List<UpstreamEntry> engines =
                mContext.loads()
                        .byTokens(upstreams(UpstreamEntry.Role.PREFILL), mTriedPrefillEngines);
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
            mTrace.addStep("no prefill engine takes a call now");
            startRun(Optional.empty());
            return;
        }
        UpstreamEntry engine = admitted.get();
        mTriedPrefillEngines.add(engine.incarnation());
        boolean alone = mContext.loads().tokens(engine) == 0 && !mPrefilledBefore && !mReturning;
        mPrefilledBefore = true;
        PrefillCall.Prompt prompt = new PrefillCall.Prompt(mService, promptTokens(), alone);
        mPrefillCall = new PrefillCall(mContext, prompt, engine, mTrace, new PrefillListener());
        mPrefillCall.send(
                mRequest,
                UpstreamPort.RunPlan.plain(remainingMillis(), priority())
                        .withResumeAfter(mRelay.lastEventId()));
    }

    /**
     * Returns whether the prompt that was read and not used can still be used.
     *
     * @return whether its time is not over and its engine has not started again
     */
    private boolean isStoredPromptValid() {
        return mContext.loop().millis() < mStoredPromptExpiry
                && !mContext.directory().hasRestarted(mStoredPrompt.upstream().incarnation());
    }

    /**
     * Sends the request to the decode engine, or looks for another where that one has left since
     * its place was found: reading the prompt may take longer than an upstream that leaves may get
     * work.
     *
     * @param prompt where the prompt was read, if elsewhere
     */
    private void startRun(Optional<UpstreamPort.StoredPrompt> prompt) {
        if (refuseIfQuarantined()) {
            prompt.ifPresent(mContext.port()::discard);
            return;
        }
        UpstreamEntry engine = mReservation.engine();
        boolean takesWork =
                mContext.directory()
                        .usable(engine)
                        .filter(listed -> listed.role() == UpstreamEntry.Role.DECODE)
                        .filter(mContext.admission()::stillAdmits)
                        .isPresent();
        if (!takesWork) {
            mTrace.addStep("left@" + engine.id());
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
     * Ends the request before a run was begun, or breaks off a stream that cannot be continued.
     *
     * @param code the code that fits the last step
     * @param detail what exactly
     */
    private void failWithoutRun(ResultCode code, String detail) {
        if (mStreamStarted) {
            abortStream(detail);
        } else {
            long now = mContext.loop().millis();
            mRequest.prompt().ifPresent(own -> mContext.recentRefusals().recordRefusal(own, now));
            long limit = (long) (remainingMillis() * ServingSettings.MAX_RETRY_AFTER_RATIO);
            long backOff = mContext.admission().backOffMillis(untriedEngines());
            refuse(code, detail, backOff + mContext.retryPacer().nextDelayMillis(now, limit));
        }
    }

    /**
     * Goes on after a run that failed.
     *
     * @param upstream where it was
     * @param end how it ended
     */
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
     * Looks for a place for another run, if there may be one.
     *
     * @param upstream where the last one was
     * @param end how it ended
     * @param ended whether that engine is known to have ended, and its memory with it
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

    /** Looks for a place for another run, from now on. */
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

    /** Frees the prompt that was read and not used. */
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

    /** Receives a place. Confined to the traffic loop. */
    private final class SearchListener implements ReservationAllocator.Listener {

        /** {@inheritDoc} */
        @Override
        public void onGranted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
            mContext.metrics()
                    .recordPredictionError(
                            "place", mPredictedWaitMillis, mReservation.searchMillis());
            acceptReservation(engine, place);
            prefill();
        }

        /** {@inheritDoc} */
        @Override
        public void onRefused(String detail) {
            mReservation.endSearch();
            mContext.growthMargin().recordRefusal();
            mTrace.addStep(
                    detail + ", prompt read in " + (long) predictedPrefillMillis() + "ms at best");
            failWithoutRun(ResultCode.NO_PLACE, "no place");
        }
    }

    /** Receives a place at the engine that has the prompt. Confined to the traffic loop. */
    private final class ResumeSearchListener implements ReservationAllocator.Listener {

        /** How the run ended whose prompt it has. */
        private final AttemptEnd mEnd;

        /**
         * Creates a listener.
         *
         * @param end how the run ended whose prompt the engine has
         */
        ResumeSearchListener(AttemptEnd end) {
            mEnd = end;
        }

        /** {@inheritDoc} */
        @Override
        public void onGranted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
            acceptReservation(engine, place);
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

    /** Receives the prompt. Confined to the traffic loop. */
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
        public void onFailed(UpstreamEntry engine, AttemptEnd end) {
            mPrefillCall = null;
            afterCrashAttribution(engine, end, ended -> StreamExecution.this.prefill());
        }
    }

    /** One run at a decode engine. Confined to the traffic loop. */
    private final class StreamRun extends UpstreamRun {

        /** Where its prompt was read, if elsewhere. */
        private final Optional<UpstreamPort.StoredPrompt> mPrompt;

        /** When the last event came, milliseconds. */
        private long mLastEventAt;

        /** An answer that is no stream, or null. */
        private BufferedResponse mErrorResponse;

        /**
         * Creates a run.
         *
         * @param upstream where it runs
         * @param prompt where its prompt was read, if elsewhere
         */
        StreamRun(UpstreamEntry upstream, Optional<UpstreamPort.StoredPrompt> prompt) {
            super(StreamExecution.this.mContext, upstream);
            mPrompt = prompt;
        }

        /**
         * Sends the call.
         *
         * @param plan what goes with it
         */
        void start(UpstreamPort.RunPlan plan) {
            send(mRequest, plan);
            mCaller.onWritable(() -> setAutoRead(true));
            restartSilenceTimer();
        }

        /** Starts to wait for the next event where the stream may be continued elsewhere. */
        private void restartSilenceTimer() {
            boolean another =
                    mRoute.kind() == Route.Kind.RESUMABLE_STREAM
                            && mAttempted.size() < mRoute.maxAttempts();
            if (another) {
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
            recordPause();
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
            }
        }

        /** Notes a pause between events that makes the answer late. */
        private void recordPause() {
            long now = mContext.loop().millis();
            long pause = now - mLastEventAt;
            if (mLastEventAt != 0
                    && mRoute.eventGapMillis() > 0
                    && pause > mRoute.eventGapMillis()) {
                long used = mContext.loads().tokens(mUpstream);
                mTrace.markNotable();
                mContext.growthMargin().recordPause(now);
                mTrace.addStep("pause " + pause + "ms@" + mUpstream.id() + " known tokens " + used);
            }
            mLastEventAt = now;
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
            mTrace.addStep("events=" + mRelay.eventCount());
            mCaller.endStream();
            finishAnswered();
        }

        /** Goes on after an answer that is no stream. */
        private void onErrorResponse() {
            UpstreamPort.Head head = mErrorResponse.head();
            AttemptEnd end = AttemptEnds.end(head);
            close();
            if (end.notStarted() && end.leaving()) {
                mPrompt.ifPresent(prompt -> mStoredPrompt = prompt);
            } else if (end.notStarted()) {
                mPrompt.ifPresent(mContext.port()::discard);
            }
            boolean own = head.verdict() == UpstreamPort.Verdict.OWN_FAILURE;
            if (own && !mStreamStarted && mRoute.kind() != Route.Kind.RESUMABLE_STREAM) {
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
