package org.troutpier.daemon.serving;

import java.util.ArrayList;
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
 * loop. Invariants: each prefill in progress is at another engine, and all of them but the last one
 * are silent; a prefill is aborted only once another result is used, the decode engine processes
 * the prompt, or the search ends; a result is handed on, kept or discarded.
 *
 * <p>Intended for engines of which some pause for about a second and go on, and others never answer
 * again, on connections that stay open.
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

    /** The prefills in progress, in the order in which they were sent. */
    private final List<PrefillCall> mCalls = new ArrayList<>();

    /** The prefills of this search, as far as it is open whether they count. */
    private final PrefillArrivals mArrivals = new PrefillArrivals();

    /** The last event that the caller has received, for the prefills in progress. */
    private OptionalLong mResumeAfter = OptionalLong.empty();

    /** Increases when the search for a result ends, so that what follows a failure is dropped. */
    private long mSearch;

    /**
     * Failed prefills of this search that may have crashed their engine. The prompt is sent to no
     * other engine before that is known.
     */
    private int mUnattributed;

    /** Why a silent prefill was not replaced; empty if it was. */
    private Optional<Obstacle> mObstacle = Optional.empty();

    /** The queue tier when the last prefill was sent. */
    private QueueTier mTierWhenSent = QueueTier.IN_TIME;

    /** Whether a prefill was already sent. */
    private boolean mSentBefore;

    /** Why no prefill is sent. Immutable and thread safe. */
    private enum Obstacle {
        NO_ENGINE("no prefill engine"),
        NO_PERMIT("no extra call for a prefill"),
        NOT_ADMITTED("no prefill engine admits the call");

        private final String mStep;

        Obstacle(String step) {
            mStep = step;
        }
    }

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
     * budget does not allow the run either, the request ends. What holds for a prefill that is
     * already in progress and silent is decided by {@link #replaceSilent}.
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
            end(kept);
            return;
        }
        if (!mExecution.mArrivals.reserve()) {
            mExecution.failWithoutPermit();
            return;
        }
        mResumeAfter = resumeAfter;
        Optional<Obstacle> obstacle = trySend(mEngines.inOrder(mTriedEngines));
        if (obstacle.isPresent()) {
            mExecution.trace().addStep(obstacle.get().mStep);
            end(Optional.empty());
        }
    }

    /**
     * Sends a prefill to the first engine that admits it.
     *
     * @param engines the engines, the best first
     * @return why none was sent; empty if one was
     */
    private Optional<Obstacle> trySend(List<UpstreamEntry> engines) {
        if (engines.isEmpty()) {
            return Optional.of(Obstacle.NO_ENGINE);
        }
        Optional<RequestArrivals.Arrival> arrival = mExecution.mArrivals.beginPrefill();
        if (arrival.isEmpty()) {
            return Optional.of(Obstacle.NO_PERMIT);
        }
        Optional<UpstreamEntry> admitted =
                mContext.admission().acquireFirst(engines, mExecution.flowKey());
        if (admitted.isEmpty()) {
            arrival.get().recordUnreached();
            return Optional.of(Obstacle.NOT_ADMITTED);
        }
        mEngines.recordPassedOver(engines, admitted.get(), mExecution.trace());
        send(admitted.get(), arrival.get());
        return Optional.empty();
    }

    private void send(UpstreamEntry engine, RequestArrivals.Arrival arrival) {
        mTriedEngines.add(engine.incarnation());
        mTierWhenSent = mTiming.tier();
        mObstacle = Optional.empty();
        boolean measurable =
                mContext.loads().tokens(engine) == 0 && !mSentBefore && !mTiming.isReturning();
        mSentBefore = true;
        PrefillCall.Prompt prompt =
                new PrefillCall.Prompt(mExecution.mService, mPromptTokens, measurable);
        PrefillCall call =
                new PrefillCall(mContext, prompt, engine, mExecution.trace(), new CallListener());
        mCalls.add(call);
        mArrivals.add(arrival);
        call.send(
                mExecution.mRequest,
                UpstreamPort.RunPlan.plain(
                                arrival, mExecution.remainingMillis(), mExecution.priority())
                        .withResumeAfter(mResumeAfter));
    }

    /**
     * Searches for another engine if all prefills in progress are silent; they go on meanwhile.
     * Where no other one is found, the decode engine processes the prompt itself if the budget of
     * extra calls allows the run; it begins at once, while a silent engine may never answer.
     */
    private void replaceSilent() {
        boolean silent = mCalls.stream().allMatch(PrefillCall::isSilent);
        if (!silent || mUnattributed > 0 || mExecution.refuseIfQuarantined()) {
            return;
        }
        Optional<Obstacle> obstacle = trySend(mEngines.replacements(mTriedEngines));
        if (obstacle.isEmpty()) {
            return;
        }
        if (!obstacle.equals(mObstacle)) {
            mObstacle = obstacle;
            mExecution.trace().addStep("prefill kept, " + obstacle.get().mStep);
        }
        if (mayUseDecodeEngine()) {
            mExecution.trace().addStep("prompt left to the decode engine");
            end(Optional.empty());
        }
    }

    private boolean mayUseDecodeEngine() {
        long waitedMillis = mCalls.get(0).elapsedMillis();
        return new DecodeEngineFallback(mEngines.predictedDecodeEngineMillis())
                        .isDue(waitedMillis, mExecution.remainingMillis())
                && mExecution.mArrivals.reserve();
    }

    /**
     * Ends the search for a result.
     *
     * @param result the result; empty where the decode engine processes the prompt
     */
    private void end(Optional<UpstreamPort.StoredPrompt> result) {
        close(PrefillCall::giveWay);
        mNext.accept(result);
    }

    private void close(Consumer<PrefillCall> abortion) {
        mSearch++;
        mUnattributed = 0;
        List<PrefillCall> calls = List.copyOf(mCalls);
        mCalls.clear();
        calls.forEach(abortion);
        mArrivals.recordArrived();
    }

    /** Keeps a result that no decode engine has fetched, for the next one. */
    void keep(UpstreamPort.StoredPrompt result) {
        mResult.keep(result);
    }

    /** Allows all prefill engines again, for another run. */
    void restart() {
        mTriedEngines.clear();
    }

    /** Aborts the prefills in progress and discards a kept result. */
    void release() {
        close(PrefillCall::abort);
        mResult.discard();
    }

    /** Receives the outcome of a prefill. Confined to the traffic loop. */
    private final class CallListener implements PrefillCall.Listener {

        /** {@inheritDoc} */
        @Override
        public void onPrefilled(PrefillCall call, UpstreamPort.StoredPrompt prompt) {
            mCalls.remove(call);
            mArrivals.recordCompletion();
            mResult.recordStored();
            end(Optional.of(prompt));
        }

        /** {@inheritDoc} */
        @Override
        public void onSilent(PrefillCall call) {
            replaceSilent();
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayBeInTimeElsewhere() {
            return mTiming.waitBudget(mTierWhenSent)
                    .allowsPrefill(mTiming.prediction(mTriedEngines));
        }

        /** {@inheritDoc} A failure counts only when no other prefill is in progress. */
        @Override
        public void onFailed(PrefillCall call, UpstreamEntry engine, AttemptEnd end) {
            mCalls.remove(call);
            if (end.neverReached()) {
                mArrivals.recordUnreached(call.arrival());
            }
            long search = mSearch;
            mUnattributed++;
            mExecution.afterCrashAttribution(
                    engine,
                    end,
                    0,
                    ended -> {
                        if (search != mSearch) {
                            return;
                        }
                        mUnattributed--;
                        if (mUnattributed > 0) {
                            return;
                        }
                        if (mCalls.isEmpty()) {
                            start(mResumeAfter);
                        } else {
                            replaceSilent();
                        }
                    });
        }
    }
}
