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
    private final EngineTraits mEngine;

    /** Hands events to the caller. */
    private final EventRelay mRelay;

    /** The prefill engines that were tried for this run. */
    private final Set<UpstreamIncarnation> mPrefillTried = new HashSet<>();

    /** Where it runs or is going to run. */
    private final DecodePlace mPlace;

    /** The prompt's reading, or null. */
    private PromptReading mReading;

    /** The run under way, or null. */
    private StreamRun mRun;

    /** A prompt that was read and not used, to be used at another decode engine; or null. */
    private UpstreamPort.StoredPrompt mStored;

    /** Until when it can be used, milliseconds. */
    private long mStoredUntil;

    /** Where the prompt of a run whose answer was lost still is. */
    private final KeptPrompt mKept = new KeptPrompt();

    /** How long the wait for a place was predicted to be, milliseconds. */
    private double mPredictedMillis;

    /** Whether it was refused lately and comes back as told. */
    private boolean mComesBack;

    /** Whether a place was looked for before, so that this time something has failed. */
    private boolean mSearchedBefore;

    /** When the caller had the last event, or 0 before; milliseconds since the request came. */
    private long mStarted;

    /** Whether the caller has the stream's head. */
    private boolean mBegun;

    /** Whether a prompt was sent to be read before, so that the next one counts as extra. */
    private boolean mReadBefore;

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
        mEngine = engine;
        mRelay = new EventRelay(caller, request.lastEvent());
        mPlace = new DecodePlace(context, service, engine, asker(), promptTokens(), tokens());
    }

    /** {@inheritDoc} */
    @Override
    void start() {
        if (withheld()) {
            return;
        }
        if (promptTokens() > mEngine.memoryTokens()) {
            refuse(ResultCode.NO_PLACE, "larger than an engine's memory", 0);
            return;
        }
        mComesBack = comesBack();
        if (!mComesBack) {
            mContext.demand().recordRequest(mService, promptTokens(), mContext.loop().millis());
        }
        search();
    }

    /** Looks for a place at a decode engine, or refuses at once what cannot start in time. */
    private void search() {
        if (untried().isEmpty()) {
            failedBeforeRun(ResultCode.NO_PLACE, "no engine is left");
            return;
        }
        WaitBudget window = window();
        WaitBudget.Prediction prediction = prediction();
        if (mContext.admission().backOffMillis(untried()) > window.waitMillis(prediction)) {
            failedBeforeRun(ResultCode.NO_PLACE, "engines asked for a back-off");
            return;
        }
        mPredictedMillis = mPlace.predictedMillis(upstreams(UpstreamEntry.Role.DECODE));
        if (window.isExceededBy(mPredictedMillis, prediction)) {
            mTrace.step("room predicted in " + (long) mPredictedMillis + "ms");
            failedBeforeRun(ResultCode.NO_PLACE, "no place in time");
            return;
        }
        mSearchedBefore = true;
        mPlace.search(
                window.waitMillis(prediction),
                window.tier(),
                mRelay.events(),
                this::engines,
                new PlaceFound());
    }

    /**
     * Returns how long the request may wait.
     *
     * @return the window
     */
    private WaitBudget window() {
        long elapsed = mTrace.elapsedMillis() - mStarted;
        return new WaitBudget(mRoute.targetMillis(), elapsed, leftMillis(), standing());
    }

    /**
     * Returns whether the request can still be in time.
     *
     * @return its standing
     */
    private QueueTier standing() {
        if (mBegun || mRequest.lastEvent().isPresent()) {
            return QueueTier.CONTINUED;
        }
        boolean late = mSearchedBefore && mTrace.elapsedMillis() >= mRoute.targetMillis();
        return late || mComesBack ? QueueTier.LATE : QueueTier.IN_TIME;
    }

    /**
     * Predicts what follows once a place was found.
     *
     * @return the prediction
     */
    private WaitBudget.Prediction prediction() {
        return new WaitBudget.Prediction(
                readMillis() + mContext.readingExcess().predictedMillis(),
                mContext.firstEvent().predictedMillis());
    }

    /**
     * Looks for a place at the engine that lost the run's answer, whose memory it left just now.
     *
     * @param end how the run ended
     */
    private void searchKept(AttemptEnd end) {
        mPlace.search(
                0,
                QueueTier.CONTINUED,
                mRelay.events(),
                () -> mKept.among(upstreams(UpstreamEntry.Role.DECODE)),
                new KeptFound(end));
    }

    /**
     * Takes a place.
     *
     * @param engine where it is
     * @param place the place; empty where engines do not set places aside
     */
    private void take(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
        mPlace.take(engine, place);
        mContext.pacer().recordGrant(mContext.loop().millis());
        mTrace.step("place@" + engine.id() + " known " + mContext.loads().tokens(engine));
    }

    /**
     * Returns whether the request was refused lately and comes back as told.
     *
     * @return whether it does
     */
    private boolean comesBack() {
        long now = mContext.loop().millis();
        return mRequest.prompt()
                .filter(own -> mContext.recentRefusals().comesBack(own, now))
                .isPresent();
    }

    /**
     * Returns the decode engines that may be asked for a place now.
     *
     * @return the engines; none while the prefill engines could not read the prompt in time
     */
    private List<UpstreamEntry> engines() {
        return window().allowsPrefill(prediction()) ? untried() : List.of();
    }

    /**
     * Returns the decode engines that have not had the request.
     *
     * @return the engines
     */
    private List<UpstreamEntry> untried() {
        Set<UpstreamIncarnation> excluded = excluded();
        return upstreams(UpstreamEntry.Role.DECODE).stream()
                .filter(entry -> !excluded.contains(entry.incarnation()))
                .toList();
    }

    /**
     * Predicts how long the prompt's reading takes at the prefill engine with the least to read.
     *
     * @return milliseconds; 0 where the engines' pace is not known or none reads prompts
     */
    private double readMillis() {
        List<UpstreamEntry> prefill =
                mContext.loads().byTokens(upstreams(UpstreamEntry.Role.PREFILL), Set.of());
        if (prefill.isEmpty()) {
            return 0;
        }
        long queue = mContext.loads().tokens(prefill.get(0));
        return mContext.demanded(mService).reading().predictedMillis(queue + promptTokens());
    }

    /**
     * Returns how much memory the request takes at most.
     *
     * @return tokens
     */
    private long tokens() {
        return mRequest.prompt().map(PromptMetadata::mostTokens).orElse(0L);
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
    private void read() {
        if (withheld()) {
            return;
        }
        if (mStored != null && storedStands()) {
            UpstreamPort.StoredPrompt stored = mStored;
            mStored = null;
            mTrace.step("prompt kept");
            run(Optional.of(stored));
            return;
        }
        discardStored();
        List<UpstreamEntry> engines =
                mContext.loads().byTokens(upstreams(UpstreamEntry.Role.PREFILL), mPrefillTried);
        if (engines.isEmpty()) {
            mTrace.step("no prefill engine");
            run(Optional.empty());
            return;
        }
        if (mReadBefore && !mayCallOnceMore()) {
            run(Optional.empty());
            return;
        }
        Optional<UpstreamEntry> admitted = mContext.admission().acquireFirst(engines, asker());
        if (admitted.isEmpty()) {
            mTrace.step("no prefill engine takes a call now");
            run(Optional.empty());
            return;
        }
        UpstreamEntry engine = admitted.get();
        mPrefillTried.add(engine.incarnation());
        boolean alone = mContext.loads().tokens(engine) == 0 && !mReadBefore && !mComesBack;
        mReadBefore = true;
        PromptReading.Prompt prompt = new PromptReading.Prompt(mService, promptTokens(), alone);
        mReading = new PromptReading(mContext, prompt, engine, mTrace, new PromptRead());
        mReading.begin(
                mRequest,
                UpstreamPort.RunPlan.plain(leftMillis(), priority())
                        .withResumeAfter(mRelay.last()));
    }

    /**
     * Returns whether the prompt that was read and not used can still be used.
     *
     * @return whether its time is not over and its engine has not started again
     */
    private boolean storedStands() {
        return mContext.loop().millis() < mStoredUntil
                && !mContext.directory().hasRestarted(mStored.upstream().incarnation());
    }

    /**
     * Sends the request to the decode engine, or looks for another where that one has left since
     * its place was found: reading the prompt may take longer than an upstream that leaves may get
     * work.
     *
     * @param prompt where the prompt was read, if elsewhere
     */
    private void run(Optional<UpstreamPort.StoredPrompt> prompt) {
        if (withheld()) {
            prompt.ifPresent(mContext.port()::discard);
            return;
        }
        UpstreamEntry engine = mPlace.engine();
        boolean takesWork =
                mContext.directory()
                        .usable(engine)
                        .filter(listed -> listed.role() == UpstreamEntry.Role.DECODE)
                        .filter(mContext.admission()::stillAdmits)
                        .isPresent();
        if (!takesWork) {
            mTrace.step("left@" + engine.id());
            prompt.ifPresent(stored -> mStored = stored);
            mPlace.release();
            search();
            return;
        }
        sent(engine, "decode");
        mRelay.beginRun();
        UpstreamPort.RunPlan plan =
                UpstreamPort.RunPlan.plain(leftMillis(), priority())
                        .withReservation(mPlace.use())
                        .withResumeAfter(mRelay.last());
        mRun = new StreamRun(engine, prompt);
        mRun.begin(prompt.map(plan::withPrompt).orElse(plan));
    }

    /**
     * Ends the request before a run was begun, or breaks off a stream that cannot be continued.
     *
     * @param code the code that fits the last step
     * @param detail what exactly
     */
    private void failedBeforeRun(ResultCode code, String detail) {
        if (mBegun) {
            cut(detail);
        } else {
            long now = mContext.loop().millis();
            mRequest.prompt().ifPresent(own -> mContext.recentRefusals().refused(own, now));
            long limit = (long) (leftMillis() * ServingSettings.RETURN_PART);
            long backOff = mContext.admission().backOffMillis(untried());
            refuse(code, detail, backOff + mContext.pacer().nextDelayMillis(now, limit));
        }
    }

    /**
     * Goes on after a run that failed.
     *
     * @param upstream where it was
     * @param end how it ended
     */
    private void runFailed(UpstreamEntry upstream, AttemptEnd end) {
        learn(upstream, end);
        if (end.notStarted() || mRoute.kind() == Route.Kind.RESUMABLE_STREAM) {
            whenJudged(upstream, end, ended -> runAgain(upstream, end, ended));
            return;
        }
        whenJudged(upstream, end, ended -> {});
        failedBeforeRun(end.code(), end.detail());
    }

    /**
     * Looks for a place for another run, if there may be one.
     *
     * @param upstream where the last one was
     * @param end how it ended
     * @param ended whether that engine is known to have ended, and its memory with it
     */
    private void runAgain(UpstreamEntry upstream, AttemptEnd end, boolean ended) {
        boolean resumable = mRoute.kind() == Route.Kind.RESUMABLE_STREAM;
        if (resumable && !ended && mKept.lost(upstream, end)) {
            if (mayRepeat()) {
                searchKept(end);
                return;
            }
        } else if (mayTryAgain(upstream, end)) {
            searchAgain();
            return;
        }
        failedBeforeRun(end.code(), end.detail());
    }

    /** Looks for a place for another run, from now on. */
    private void searchAgain() {
        mPrefillTried.clear();
        mStarted = mBegun ? mTrace.elapsedMillis() : 0;
        search();
    }

    /** {@inheritDoc} */
    @Override
    protected void stopUpstream() {
        if (mReading != null) {
            mReading.abort();
            mReading = null;
        }
        if (mRun != null) {
            mRun.abort();
        }
        mPlace.release();
        discardStored();
    }

    /** Frees the prompt that was read and not used. */
    private void discardStored() {
        if (mStored != null) {
            mContext.port().discard(mStored);
            mStored = null;
        }
    }

    /** {@inheritDoc} */
    @Override
    protected boolean atUpstream() {
        return mRun != null;
    }

    /** {@inheritDoc} */
    @Override
    protected boolean streaming() {
        return mBegun;
    }

    /** Receives a place. Confined to the traffic loop. */
    private final class PlaceFound implements ReservationAllocator.Listener {

        /** {@inheritDoc} */
        @Override
        public void granted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
            mContext.metrics().predicted("place", mPredictedMillis, mPlace.searchedMillis());
            take(engine, place);
            read();
        }

        /** {@inheritDoc} */
        @Override
        public void refused(String detail) {
            mPlace.searched();
            mContext.margin().recordRefusal();
            mTrace.step(detail + ", prompt read in " + (long) readMillis() + "ms at best");
            failedBeforeRun(ResultCode.NO_PLACE, "no place");
        }
    }

    /** Receives a place at the engine that has the prompt. Confined to the traffic loop. */
    private final class KeptFound implements ReservationAllocator.Listener {

        /** How the run ended whose prompt it has. */
        private final AttemptEnd mEnd;

        /**
         * Creates a listener.
         *
         * @param end how the run ended whose prompt the engine has
         */
        KeptFound(AttemptEnd end) {
            mEnd = end;
        }

        /** {@inheritDoc} */
        @Override
        public void granted(UpstreamEntry engine, Optional<UpstreamPort.Reservation> place) {
            take(engine, place);
            mKept.repeated();
            mTrace.step("prompt still there");
            run(Optional.empty());
        }

        /** {@inheritDoc} */
        @Override
        public void refused(String detail) {
            mPlace.searched();
            mTrace.step("not there again");
            if (mTried.size() < mRoute.maxAttempts()) {
                searchAgain();
            } else {
                failedBeforeRun(mEnd.code(), mEnd.detail());
            }
        }
    }

    /** Receives the prompt. Confined to the traffic loop. */
    private final class PromptRead implements PromptReading.Listener {

        /** {@inheritDoc} */
        @Override
        public void read(UpstreamPort.StoredPrompt prompt) {
            mReading = null;
            long now = mContext.loop().millis();
            mStoredUntil = now + mEngine.kvHandleMillis() - ServingSettings.FETCH_MILLIS;
            run(Optional.of(prompt));
        }

        /** {@inheritDoc} */
        @Override
        public void failed(UpstreamEntry engine, AttemptEnd end) {
            mReading = null;
            whenJudged(engine, end, ended -> StreamExecution.this.read());
        }
    }

    /** One run at a decode engine. Confined to the traffic loop. */
    private final class StreamRun extends UpstreamRun {

        /** Where its prompt was read, if elsewhere. */
        private final Optional<UpstreamPort.StoredPrompt> mPrompt;

        /** When the last event came, milliseconds. */
        private long mLastEvent;

        /** An answer that is no stream, or null. */
        private WholeAnswer mAnswer;

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
        void begin(UpstreamPort.RunPlan plan) {
            send(mRequest, plan);
            mCaller.onWritable(() -> read(true));
            watch();
        }

        /** Starts to wait for the next event where the stream may be continued elsewhere. */
        private void watch() {
            boolean another =
                    mRoute.kind() == Route.Kind.RESUMABLE_STREAM
                            && mTried.size() < mRoute.maxAttempts();
            if (another) {
                expectWithin(ServingSettings.STREAM_SILENCE_MILLIS);
            } else {
                expectNothing();
            }
        }

        /** {@inheritDoc} */
        @Override
        protected void silent() {
            abort();
            onFailure(AttemptEnd.failed(ResultCode.OUTCOME_UNKNOWN, "stream silent"));
        }

        /** {@inheritDoc} */
        @Override
        protected void closed() {
            mRun = null;
            mPlace.free();
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(UpstreamPort.Head head) {
            if (head.verdict() != UpstreamPort.Verdict.SUCCESS) {
                mAnswer = new WholeAnswer(head);
                return;
            }
            if (!mBegun) {
                mBegun = true;
                mTrace.step("head");
                mCaller.begin(head.status(), head.headers());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onPart(byte[] part) {
            if (mAnswer != null) {
                mAnswer.add(part);
                return;
            }
            long before = mRelay.events();
            try {
                mRelay.feed(part);
            } catch (org.troutpier.common.result.TroutpierException exception) {
                abort();
                onFailure(AttemptEnd.failed(exception.code(), exception.detail()));
                return;
            }
            notePause();
            mPlace.grow(mRelay.events() - before);
            if (before == 0 && mRelay.events() > 0) {
                mTrace.step("first event");
                mContext.firstEvent().record(millis());
                lateAfter(mTrace.elapsedMillis());
                mContext.metrics().stage("first-event", mTrace.elapsedMillis());
            }
            watch();
            if (!mCaller.writable()) {
                read(false);
            }
        }

        /** Notes a pause between events that makes the answer late. */
        private void notePause() {
            long now = mContext.loop().millis();
            long pause = now - mLastEvent;
            if (mLastEvent != 0 && mRoute.eventGapMillis() > 0 && pause > mRoute.eventGapMillis()) {
                long used = mContext.loads().tokens(mUpstream);
                mTrace.notable();
                mContext.margin().recordPause(now);
                mTrace.step("pause " + pause + "ms@" + mUpstream.id() + " known tokens " + used);
            }
            mLastEvent = now;
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd() {
            if (mAnswer != null) {
                refused();
                return;
            }
            if (!mRelay.betweenEvents()) {
                onFailure(AttemptEnd.failed(ResultCode.UPSTREAM_FAILED, "ended inside an event"));
                return;
            }
            close();
            succeeded(mUpstream, "stream", millis());
            long output = mRelay.events() * mEngine.eventTokens();
            mContext.demand()
                    .recordRun(
                            mService,
                            new DemandMeter.CompletedRun(promptTokens(), output, millis()),
                            mContext.loop().millis());
            mTrace.step("events=" + mRelay.events());
            mCaller.end();
            answered();
        }

        /** Goes on after an answer that is no stream. */
        private void refused() {
            UpstreamPort.Head head = mAnswer.head();
            AttemptEnd end = AttemptEnds.end(head);
            close();
            if (end.notStarted() && end.leaving()) {
                mPrompt.ifPresent(prompt -> mStored = prompt);
            } else if (end.notStarted()) {
                mPrompt.ifPresent(mContext.port()::discard);
            }
            boolean own = head.verdict() == UpstreamPort.Verdict.OWN_FAILURE;
            if (own && !mBegun && mRoute.kind() != Route.Kind.RESUMABLE_STREAM) {
                learn(mUpstream, end);
                mTrace.notable();
                mTrace.step("status=" + head.status());
                mAnswer.sendTo(mCaller);
                answered();
                return;
            }
            runFailed(mUpstream, end);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(AttemptEnd end) {
            close();
            giveBackUnreached(end);
            if (end.notStarted()) {
                mPrompt.ifPresent(prompt -> mStored = prompt);
            }
            runFailed(mUpstream, end);
        }
    }
}
