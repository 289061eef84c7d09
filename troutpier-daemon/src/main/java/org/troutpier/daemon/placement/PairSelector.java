package org.troutpier.daemon.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.troutpier.common.id.HallId;

/**
 * Chooses the prefill and the decode engine of a request. Implementations are confined to the
 * control thread and take nothing: who takes the decode slot is the caller's business.
 */
public interface PairSelector {

    /**
     * Chooses a pair.
     *
     * @param blocks the prompt's prefix blocks
     * @param promptTokens the prompt's length
     * @param prefills the prefill engines that may be used; not empty
     * @param decodes the decode engines that have room; not empty
     * @return the pair
     */
    Pair select(
            List<Long> blocks,
            int promptTokens,
            List<UpstreamState> prefills,
            List<UpstreamState> decodes);

    /**
     * A prefill and a decode engine.
     *
     * @param prefill the prefill engine
     * @param decode the decode engine
     * @param uncachedTokens how many tokens the prefill is expected to compute
     * @param firstTokenNanos when the first token is predicted, from now
     */
    record Pair(
            UpstreamState prefill,
            UpstreamState decode,
            long uncachedTokens,
            double firstTokenNanos) {}

    /**
     * Predicts a pair.
     *
     * @param blocks the prompt's prefix blocks
     * @param promptTokens the prompt's length
     * @param prefill the prefill engine
     * @param decode the decode engine
     * @return the pair with its prediction
     */
    static Pair predict(
            List<Long> blocks, int promptTokens, UpstreamState prefill, UpstreamState decode) {
        int cached = prefill.cachedPrefixBlocks(blocks) * PromptBlocks.TOKENS_PER_BLOCK;
        long uncached = Math.max(1, promptTokens - cached);
        double nanos = prefill.predictedPrefillNanos(uncached) + decode.predictedFirstStepNanos();
        return new Pair(prefill, decode, uncached, nanos);
    }

    /** Takes the engines in turn: a baseline. */
    final class ForRoundRobin implements PairSelector {

        /** Counts the choices. */
        private int mNext;

        /** {@inheritDoc} */
        @Override
        public Pair select(
                List<Long> blocks,
                int promptTokens,
                List<UpstreamState> prefills,
                List<UpstreamState> decodes) {
            mNext++;
            return predict(
                    blocks,
                    promptTokens,
                    prefills.get(mNext % prefills.size()),
                    decodes.get(mNext % decodes.size()));
        }
    }

    /** Takes the engines that published the least load: a baseline. */
    final class ForLeastLoad implements PairSelector {

        /** {@inheritDoc} */
        @Override
        public Pair select(
                List<Long> blocks,
                int promptTokens,
                List<UpstreamState> prefills,
                List<UpstreamState> decodes) {
            return predict(
                    blocks,
                    promptTokens,
                    cheapest(prefills, UpstreamState::reportedRunning),
                    cheapest(decodes, UpstreamState::reportedRunning));
        }
    }

    /**
     * Takes the pair whose first token is predicted soonest: the wait at the prefill engine, the
     * part of the prompt that is not cached, the step to the first token, and the way between
     * halls.
     */
    final class ForPredictedFirstToken implements PairSelector {

        /** What crossing from one hall to another is taken to cost, nanoseconds. */
        private static final double CROSS_HALL_COST_NANOS = 2e6;

        /** What each request that runs on a decode engine is taken to cost, nanoseconds. */
        private static final double RUNNING_REQUEST_COST_NANOS = 1e6;

        /** The hall of this router. */
        private final HallId mHall;

        /**
         * Creates a selector.
         *
         * @param hall the hall of this router
         */
        public ForPredictedFirstToken(HallId hall) {
            mHall = hall;
        }

        /** {@inheritDoc} */
        @Override
        public Pair select(
                List<Long> blocks,
                int promptTokens,
                List<UpstreamState> prefills,
                List<UpstreamState> decodes) {
            UpstreamState decode = cheapest(decodes, this::decodeCost);
            HallId decodeHall = decode.declaration().hall();
            return prefills.stream()
                    .map(prefill -> predict(blocks, promptTokens, prefill, decode))
                    .min(Comparator.comparingDouble(pair -> cost(pair, decodeHall)))
                    .orElseThrow();
        }

        /**
         * Returns what a decode engine costs.
         *
         * @param decode the engine
         * @return nanoseconds
         */
        private double decodeCost(UpstreamState decode) {
            double hallCost = decode.declaration().hall().equals(mHall) ? 0 : CROSS_HALL_COST_NANOS;
            return hallCost + decode.estimatedRunning() * RUNNING_REQUEST_COST_NANOS;
        }

        /**
         * Returns what a pair costs.
         *
         * @param pair the pair
         * @param near the hall of its decode engine
         * @return nanoseconds
         */
        private static double cost(Pair pair, HallId decodeHall) {
            double hallCost =
                    pair.prefill().declaration().hall().equals(decodeHall)
                            ? 0
                            : CROSS_HALL_COST_NANOS;
            return pair.firstTokenNanos() + hallCost;
        }
    }

    /**
     * Finds the cheapest.
     *
     * @param states the candidates; not empty
     * @param cost what each costs
     * @return the cheapest, the first of equals
     */
    private static UpstreamState cheapest(
            List<UpstreamState> states, ToDoubleFunction<UpstreamState> cost) {
        Optional<UpstreamState> cheapest = states.stream().min(Comparator.comparingDouble(cost));
        return cheapest.orElseThrow();
    }
}
