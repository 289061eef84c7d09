package org.troutpier.daemon.serving;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.cluster.PrefillLatencyModel;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.pace.PaceEstimate;

/**
 * Predicts when the prefill engines of a service would complete one prompt. Confined to the traffic
 * loop.
 */
final class PrefillEngines {

    private final ServingContext mContext;

    private final Supplier<List<UpstreamEntry>> mCandidates;

    private final String mService;

    private final long mPromptTokens;

    /**
     * Creates a prediction for one prompt.
     *
     * @param candidates returns the prefill engines that may receive work
     */
    PrefillEngines(
            ServingContext context,
            Supplier<List<UpstreamEntry>> candidates,
            String service,
            long promptTokens) {
        mContext = context;
        mCandidates = candidates;
        mService = service;
        mPromptTokens = promptTokens;
    }

    /** Returns the length of the prompt, in tokens. */
    long promptTokens() {
        return mPromptTokens;
    }

    /**
     * Returns the engines to which the prompt may be sent.
     *
     * @param excluded the engines that are not to be used
     * @return the engines, the one that completes the prompt first in front
     */
    List<UpstreamEntry> inOrder(Set<UpstreamIncarnation> excluded) {
        return mContext.loads().order().byPrefillEnd(mCandidates.get(), excluded, mPromptTokens);
    }

    /**
     * Returns the engines that may replace one that is silent. Ejected engines do not: those that
     * are silent as well answer no earlier.
     *
     * @param excluded the engines that are not to be used
     * @return the engines, the one that completes the prompt first in front
     */
    List<UpstreamEntry> replacements(Set<UpstreamIncarnation> excluded) {
        return inOrder(excluded).stream()
                .filter(each -> mContext.loads().ejectedUntil(each) <= mContext.loop().millis())
                .toList();
    }

    /**
     * Predicts the time in which a decode engine processes the prompt.
     *
     * @return milliseconds; 0 where the engines' throughput is unknown
     */
    double predictedDecodeEngineMillis() {
        return mContext.demandFor(mService).reading().predictedDecodeEngineMillis(mPromptTokens);
    }

    /**
     * Predicts the prefill time at the engine that completes the prompt first.
     *
     * @param excluded the engines that are not to be used; without another one the decode engine
     *     processes the prompt
     * @return milliseconds; 0 where the engines' throughput is unknown or there is no prefill
     *     engine
     */
    double predictedMillis(Set<UpstreamIncarnation> excluded) {
        List<UpstreamEntry> engines = inOrder(excluded);
        PrefillLatencyModel model = mContext.demandFor(mService).reading();
        if (engines.isEmpty()) {
            return excluded.isEmpty() ? 0 : model.predictedDecodeEngineMillis(mPromptTokens);
        }
        UpstreamEntry first = engines.get(0);
        return mContext.loads().paces().pace(first)
                * model.predictedMillis(mContext.loads().tokens(first) + mPromptTokens);
    }

    /**
     * Admits the prompt though it is predicted to be late, if the prediction is to be checked. Only
     * an engine without other work is used for that.
     *
     * @param excluded the engines that are not to be used
     * @return whether the prompt is admitted
     */
    boolean tryCheckPrediction(Set<UpstreamIncarnation> excluded) {
        double weight = mContext.demandFor(mService).reading().count();
        if (!mContext.prefillCheck().isDue(mService, weight, mContext.loop().millis())) {
            return false;
        }
        List<UpstreamEntry> engines = inOrder(excluded);
        boolean idle = !engines.isEmpty() && mContext.loads().tokens(engines.get(0)) == 0;
        if (idle) {
            mContext.prefillCheck().recordCheck(mService);
        }
        return idle;
    }

    /**
     * Records the engine with the fewest queued tokens, if it was passed over for its pace.
     *
     * @param engines the engines that were considered
     */
    void recordPassedOver(List<UpstreamEntry> engines, UpstreamEntry chosen, RequestTrace trace) {
        PaceEstimate paces = mContext.loads().paces();
        if (!paces.isEnabled()) {
            return;
        }
        double chosenPace = paces.pace(chosen);
        UpstreamEntry least = chosen;
        for (UpstreamEntry engine : engines) {
            boolean fewer = mContext.loads().tokens(engine) < mContext.loads().tokens(least);
            least = fewer && paces.pace(engine) > chosenPace ? engine : least;
        }
        if (!least.equals(chosen)) {
            paces.recordPassedOver(least);
            trace.addStep("passed over " + least.id() + paces.describe(least));
        }
    }
}
