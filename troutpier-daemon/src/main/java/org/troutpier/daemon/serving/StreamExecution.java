package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.common.result.ResultCode;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.extracall.RequestArrivals;
import org.troutpier.daemon.resume.StreamOrigins;
import org.troutpier.daemon.route.EngineTraits;
import org.troutpier.daemon.route.Route;
import org.troutpier.daemon.upstream.AttemptEnd;

/**
 * Serves a stream: has an upstream searched, then relays its events to the caller as they come. How
 * the upstream is searched depends on whether the service has engines. Confined to the traffic
 * loop. Invariants: a stream is ended as complete only where its run was complete; a run is aborted
 * only once its replacement has taken over or the request ends; all events of a stream, over all
 * tries of its caller, are written by one software version.
 */
final class StreamExecution extends RequestExecution implements StreamSearch.Listener {

    private static final AttemptEnd SILENT =
            AttemptEnd.failed(ResultCode.OUTCOME_UNKNOWN, "stream silent");

    private final EventRelay mRelay;

    private final StreamUpstreams mUpstreams;

    private final StreamSearch mSearch;

    private final RunReplacement mReplacement;

    /** The run whose events are relayed, or null. */
    private StreamRun mRun;

    /** The silence of the run's engine. */
    private final RunSilence mSilence;

    /** Whether the head of the answer was sent to the caller. */
    private boolean mStreamStarted;

    private final UpstreamFailure mUpstreamFailure = new UpstreamFailure();

    /**
     * Creates an execution.
     *
     * @param engines the capabilities of the service's engines; empty for a service without engines
     */
    StreamExecution(
            ServingContext context,
            ServingRequest request,
            Route route,
            String service,
            Optional<EngineTraits> engines,
            CallerChannel caller) {
        super(context, request, route, service, caller);
        UpstreamEntry.Role role =
                engines.isPresent() ? UpstreamEntry.Role.DECODE : UpstreamEntry.Role.PLAIN;
        mUpstreams = new StreamUpstreams(this, role);
        mRelay = new EventRelay(caller, request.resumeAfter(), mUpstreams::bindTo);
        mSearch = StreamSearch.of(this, engines, mRelay, mUpstreams);
        mReplacement = new RunReplacement(this, mSearch);
        mSilence = new RunSilence(context, mTrace);
        caller.onWritable(this::resumeReading);
    }

    private void resumeReading() {
        if (mRun != null) {
            mRun.resumeReading();
        }
    }

    /** {@inheritDoc} */
    @Override
    void start() {
        if (refuseIfQuarantined()) {
            return;
        }
        Optional<StreamUpstreams.Obstacle> obstacle = mSearch.obstacle();
        if (obstacle.isPresent()) {
            refuse(obstacle.get().code(), obstacle.get().detail(), 0);
        } else if (mRequest.isResumed()) {
            mUpstreams.resolveOrigin(this::onOriginResolved);
        } else {
            mSearch.begin();
        }
    }

    /** Continues a stream that a caller resumes, or refuses it if its origin is unknown. */
    private void onOriginResolved(StreamOrigins.Resolution found) {
        if (found.origin().isPresent()) {
            mSearch.begin();
        } else {
            String detail = "neither a router nor the store knows what began the stream";
            refuse(ResultCode.ORIGIN_UNKNOWN, detail, mUpstreams.retryDelayMillis(found));
        }
    }

    /** {@inheritDoc} While a run is silent, only its replacement ends. */
    @Override
    protected boolean refuseIfQuarantined() {
        if (!mReplacement.isActive()) {
            return super.refuseIfQuarantined();
        }
        boolean withheld = withheld().isPresent();
        if (withheld) {
            endReplacement("withheld");
        }
        return withheld;
    }

    /** {@inheritDoc} Sends the request to the upstream. */
    @Override
    public void onReady(UpstreamEntry upstream, Optional<UpstreamPort.StoredPrompt> prompt) {
        Optional<RequestArrivals.Arrival> arrival = mArrivals.begin();
        if (arrival.isEmpty()) {
            prompt.ifPresent(mContext.port()::discard);
            failWithoutPermit();
            return;
        }
        recordDispatch(upstream, upstream.role() == UpstreamEntry.Role.DECODE ? "decode" : "sent");
        UpstreamPort.RunPlan plan =
                mSearch.reserved(
                        UpstreamPort.RunPlan.plain(arrival.get(), remainingMillis(), priority())
                                .asStream()
                                .withResumeAfter(mRelay.lastEventId()));
        StreamRun run =
                new StreamRun(
                        mContext,
                        upstream,
                        prompt,
                        mRelay,
                        mCaller,
                        new EventGaps(mContext, mRoute, upstream, mTrace),
                        mTrace,
                        new RunListener(mSearch.takeUsage()));
        if (mReplacement.isActive()) {
            mReplacement.setCandidate(run);
        } else {
            mRun = run;
        }
        run.start(mRequest, prompt.map(plan::withPrompt).orElse(plan));
    }

    /** {@inheritDoc} */
    @Override
    public void onNotFound(ResultCode code, String detail) {
        failWithoutRun(code, detail);
    }

    /**
     * Ends the replacement of a silent run. Without a run in progress, refuses the request, or
     * aborts a stream that cannot be resumed.
     *
     * @param code the result code that fits the last step
     */
    private void failWithoutRun(ResultCode code, String detail) {
        if (mReplacement.isActive()) {
            endReplacement(detail);
        } else if (mStreamStarted) {
            abortStream(detail);
        } else if (mUpstreamFailure.isPresent()) {
            sendUpstreamFailure();
        } else {
            refuse(code, detail, mSearch.recordRefusal());
        }
    }

    private void sendUpstreamFailure() {
        if (!isEnded()) {
            mUpstreamFailure.sendTo(mCaller, mTrace);
            releaseUpstream();
            finishAnswered();
        }
    }

    /** Ends the request because the budget of extra calls does not allow its next call. */
    void failWithoutPermit() {
        failWithoutRun(ResultCode.UPSTREAMS_REFUSED, BUDGET_USED_UP);
    }

    /** Searches for another engine, while attempts and time are left; the silent run goes on. */
    private void onSilent(StreamRun run, long millis) {
        if (mRoute.kind() != Route.Kind.RESUMABLE_STREAM || mReplacement.isActive()) {
            return;
        }
        mSilence.begin(
                run, millis, SILENT.detail(), mAttempted.size() + " of " + mRoute.maxAttempts());
        if (mSilence.isSearchDue(millis) && mayRetry(run.upstream(), SILENT)) {
            mSilence.recordSearch();
            mReplacement.begin();
        }
    }

    /** Ends the replacement of a run whose engine is no longer silent. */
    private void onBytes(StreamRun run, long silentMillis) {
        if (mSilence.isSilent()) {
            mSilence.recordContinued(run, silentMillis);
            endReplacement("continued");
        }
    }

    /** Ends the replacement of a run that goes on, and releases the permit for its call. */
    private void endReplacement(String reason) {
        mReplacement.end(reason);
        mArrivals.releaseReserved();
    }

    /** Returns whether a run is in progress, so that a search is for its replacement. */
    boolean isRunning() {
        return mRun != null;
    }

    /**
     * Replaces the silent run by the candidate.
     *
     * @param reason why the candidate is relied on
     */
    void takeOver(String reason) {
        RunReplacement.Taken taken = mReplacement.take();
        StreamRun silent = mRun;
        if (silent != null) {
            mSilence.recordReplaced(silent.silentMillis(), reason);
            silent.abort();
            recordAttemptEnd(silent.upstream(), SILENT);
        }
        mRun = taken.run();
        taken.head().ifPresent(this::beginStream);
    }

    private void beginStream(UpstreamPort.Head head) {
        if (!mStreamStarted) {
            mStreamStarted = true;
            mTrace.addStep("head");
            mCaller.beginStream(head.status(), head.headers());
        }
    }

    /** Decides how to continue after a failed run. */
    private void onRunFailed(StreamRun run, AttemptEnd end) {
        UpstreamEntry engine = run.upstream();
        long writing = run.writingMillis();
        recordFailure(engine, end);
        mSilence.recordEnded();
        if (mReplacement.hasCandidate()) {
            takeOver("the silent run failed");
            afterCrashAttribution(engine, end, writing, ended -> {});
            return;
        }
        mReplacement.end("the silent run failed");
        if (end.notStarted() || mRoute.kind() == Route.Kind.RESUMABLE_STREAM) {
            afterCrashAttribution(engine, end, writing, ended -> retryRun(engine, end, ended));
            return;
        }
        afterCrashAttribution(engine, end, writing, ended -> {});
        failWithoutRun(end.code(), end.detail());
    }

    /** Ends a replacement whose run failed. */
    private void onCandidateFailed(StreamRun run, AttemptEnd end) {
        recordFailure(run.upstream(), end);
        if (!mAttempted.withdraw(run.upstream(), end) && end.notStarted()) {
            mAttempted.giveUp(run.upstream());
        }
        mReplacement.dropCandidate();
        endReplacement(end.detail());
        afterCrashAttribution(run.upstream(), end, run.writingMillis(), ended -> {});
    }

    /**
     * Starts the search for another run if one is allowed.
     *
     * @param upstream the engine of the failed run
     * @param ended whether the engine's process is known to have ended, and its memory with it
     */
    private void retryRun(UpstreamEntry upstream, AttemptEnd end, boolean ended) {
        boolean resumable = mRoute.kind() == Route.Kind.RESUMABLE_STREAM;
        if (resumable && !ended && mSearch.recordLoss(upstream, end)) {
            if (mayResend()) {
                mSearch.beginAtResumeTarget(end);
                return;
            }
        } else if (mayRetry(upstream, end)) {
            mSearch.beginAgain();
            return;
        }
        failWithoutRun(end.code(), end.detail());
    }

    /** {@inheritDoc} */
    @Override
    protected void releaseUpstream() {
        mSilence.recordEnded();
        if (mRun != null) {
            mRun.abort();
        }
        mReplacement.release();
        mSearch.release();
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isAtUpstream() {
        return (mRun != null && mRun.mayHaveBeenSent()) || mReplacement.isAtUpstream();
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isStreaming() {
        return mStreamStarted;
    }

    /** Receives what happens to a run. Confined to the traffic loop. */
    private final class RunListener implements StreamRun.Listener {

        private final StreamSearch.Usage mUsage;

        /**
         * Creates a listener.
         *
         * @param usage what the run takes at its upstream
         */
        RunListener(StreamSearch.Usage usage) {
            mUsage = usage;
        }

        /** {@inheritDoc} */
        @Override
        public void onSilent(StreamRun run, long millis) {
            if (!mReplacement.isCandidate(run)) {
                StreamExecution.this.onSilent(run, millis);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onBytes(StreamRun run, long millis) {
            if (!mReplacement.isCandidate(run)) {
                StreamExecution.this.onBytes(run, millis);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(StreamRun run, UpstreamPort.Head head) {
            if (mReplacement.isCandidate(run)) {
                mReplacement.recordHead(head);
            } else {
                beginStream(head);
            }
        }

        /** {@inheritDoc} */
        @Override
        public boolean onEvent(StreamRun run, boolean numbered) {
            if (!mReplacement.isCandidate(run)) {
                return true;
            }
            boolean next = numbered || mRelay.lastEventId().isEmpty();
            if (next) {
                takeOver("first event");
            }
            return next;
        }

        /** {@inheritDoc} A comment does not show that a candidate continues the stream. */
        @Override
        public boolean onComment(StreamRun run) {
            return !mReplacement.isCandidate(run);
        }

        /** {@inheritDoc} */
        @Override
        public void onEvents(long events) {
            mUsage.grow(events);
        }

        /** {@inheritDoc} */
        @Override
        public void onFirstEvent(StreamRun run, long millis) {
            mSearch.recordFirstEvent(run.upstream(), millis);
            markIfLate(mTrace.elapsedMillis());
            mContext.metrics().recordStage("first-event", mTrace.elapsedMillis());
        }

        /** {@inheritDoc} */
        @Override
        public void onClosed(StreamRun run) {
            if (run == mRun) {
                mRun = null;
            }
            mUsage.free();
        }

        /** {@inheritDoc} */
        @Override
        public void onCompleted(StreamRun run, long millis, boolean framed) {
            if (mReplacement.isCandidate(run)) {
                takeOver("complete");
            }
            recordSuccess(run.upstream(), "stream", millis, framed);
            mSearch.recordCompletion(mRelay.eventCount(), millis);
            mTrace.addStep("events=" + mRelay.eventCount());
            if (mRelay.idGaps() > 0) {
                mTrace.addStep("event id gaps=" + mRelay.idGaps());
            }
            mSearch.release();
            mCaller.endStream();
            finishAnswered();
        }

        /** {@inheritDoc} */
        @Override
        public void onErrorAnswer(StreamRun run, BufferedResponse answer) {
            AttemptEnd end = AttemptEnds.end(answer.head());
            if (end.notStarted() && end.leaving()) {
                run.prompt().ifPresent(mSearch::keep);
            } else if (end.notStarted()) {
                run.prompt().ifPresent(mContext.port()::discard);
            }
            boolean ownFailure = answer.head().verdict() == UpstreamPort.Verdict.OWN_FAILURE;
            if (ownFailure) {
                mUpstreamFailure.record(answer);
            }
            if (ownFailure && !mStreamStarted && mRoute.kind() != Route.Kind.RESUMABLE_STREAM) {
                recordFailure(run.upstream(), end);
                sendUpstreamFailure();
                return;
            }
            onEnded(run, end);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailed(StreamRun run, AttemptEnd end) {
            if (end.notStarted()) {
                run.prompt().ifPresent(mSearch::keep);
            }
            onEnded(run, end);
        }

        private void onEnded(StreamRun run, AttemptEnd end) {
            mSearch.recordFailure(run.upstream(), end);
            if (mReplacement.isCandidate(run)) {
                onCandidateFailed(run, end);
            } else {
                onRunFailed(run, end);
            }
        }
    }
}
