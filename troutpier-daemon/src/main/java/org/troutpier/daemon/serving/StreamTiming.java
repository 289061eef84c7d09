package org.troutpier.daemon.serving;

import java.util.Set;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.decision.WaitBudget;

/**
 * How long a streaming request may wait, and in which queue tier. Confined to the traffic loop.
 * Invariant: a request that is no longer in time does not become so again.
 */
final class StreamTiming {

    private final StreamExecution mExecution;

    private final PrefillEngines mPrefillEngines;

    private final StreamUpstreams mUpstreams;

    /** Whether the request was refused recently and this is the caller's retry. */
    private boolean mReturning;

    /** Whether this is not the first search, so that an earlier attempt has failed. */
    private boolean mSearchedBefore;

    /**
     * When the current wait budget began, milliseconds since the request arrived: 0 before the
     * stream was started, then the time at which the search for another run began; for a stream
     * that its caller resumes, the time at which its origin was known.
     */
    private long mWaitStart;

    StreamTiming(
            StreamExecution execution,
            PrefillEngines prefillEngines,
            StreamUpstreams decodeEngines) {
        mExecution = execution;
        mPrefillEngines = prefillEngines;
        mUpstreams = decodeEngines;
    }

    /**
     * Records the arrival of the request, and its demand unless it was refused recently and this is
     * its caller's retry.
     */
    void recordArrival() {
        if (mExecution.mRequest.isResumed()) {
            mWaitStart = mExecution.trace().elapsedMillis();
        }
        ServingContext context = mExecution.mContext;
        long now = context.loop().millis();
        mReturning =
                mExecution
                        .mRequest
                        .prompt()
                        .filter(prompt -> context.recentRefusals().isReturning(prompt, now))
                        .isPresent();
        if (!mReturning) {
            PromptMetadata prompt = mExecution.mRequest.prompt().orElse(PromptMetadata.NONE);
            context.demandMeter().recordRequest(mExecution.mService, prompt.promptTokens(), now);
        }
    }

    /** Records that the request is refused, so that its caller's retry is recognised. */
    void recordRefusal() {
        ServingContext context = mExecution.mContext;
        long now = context.loop().millis();
        mExecution
                .mRequest
                .prompt()
                .ifPresent(prompt -> context.recentRefusals().recordRefusal(prompt, now));
    }

    boolean isReturning() {
        return mReturning;
    }

    /** Records that a search for a decode engine begins. */
    void recordSearch() {
        mSearchedBefore = true;
    }

    /** Records that another run is searched, with a new wait budget if a stream is continued. */
    void restart() {
        mWaitStart = isContinued() ? mExecution.trace().elapsedMillis() : 0;
    }

    /** Returns how long the request may wait for a reservation. */
    WaitBudget waitBudget() {
        return waitBudget(tier());
    }

    /** Returns how long the request may wait for a reservation in a queue tier. */
    WaitBudget waitBudget(QueueTier tier) {
        return new WaitBudget(
                mExecution.mRoute.targetMillis(),
                mExecution.trace().elapsedMillis() - mWaitStart,
                mExecution.remainingMillis(),
                tier);
    }

    private boolean isContinued() {
        return mExecution.isStreaming() || mExecution.mRequest.isResumed();
    }

    /**
     * Returns the tier in which the request is queued. A continued stream for which only some
     * engines are left does not wait behind new requests, which can use the others.
     */
    QueueTier queueTier() {
        return isContinued() && mUpstreams.isRestricted() ? QueueTier.IN_TIME : tier();
    }

    /**
     * Returns the tier by which the request may wait, which depends on whether it can still meet
     * its target. A continued stream has met or missed it with its first event.
     */
    QueueTier tier() {
        if (isContinued()) {
            return QueueTier.CONTINUED;
        }
        boolean late =
                mSearchedBefore
                        && mExecution.trace().elapsedMillis() >= mExecution.mRoute.targetMillis();
        return late || mReturning ? QueueTier.LATE : QueueTier.IN_TIME;
    }

    /** Predicts the time of the prefill at the best engine, milliseconds; 0 for unknown. */
    double predictedPrefillMillis() {
        return mPrefillEngines.predictedMillis(Set.of());
    }

    /** Predicts the time from the reservation to the first event. */
    WaitBudget.Prediction prediction() {
        return prediction(Set.of());
    }

    /**
     * Predicts the time from the reservation to the first event; 0 for unknown, where a prediction
     * by which the request is late is to be checked.
     *
     * @param excluded the prefill engines that are not to be used
     */
    WaitBudget.Prediction prediction(Set<UpstreamIncarnation> excluded) {
        ServingContext context = mExecution.mContext;
        WaitBudget.Prediction prediction =
                new WaitBudget.Prediction(
                        mPrefillEngines.predictedMillis(excluded)
                                + context.prefillExcess().predictedMillis(),
                        context.firstEventDelay().predictedMillis());
        boolean late = prediction.millis() > mExecution.mRoute.targetMillis();
        return late && mPrefillEngines.tryCheckPrediction(excluded)
                ? WaitBudget.Prediction.UNKNOWN
                : prediction;
    }
}
