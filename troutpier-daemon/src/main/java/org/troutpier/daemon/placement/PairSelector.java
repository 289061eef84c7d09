package org.troutpier.daemon.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.troutpier.common.id.HallId;

/**
 * Selects the prefill and the decode engine of a request. Implementations are confined to the
 * control thread. They only select: the caller acquires the decode slot.
 */
public interface PairSelector {

    /**
     * Selects a pair of engines.
     *
     * @param blocks ids of the prefix blocks of the prompt
     * @param promptTokens length of the prompt
     * @param prefills usable prefill engines; not empty
     * @param decodes decode engines with a free slot; not empty
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
     * @param uncachedTokens number of tokens that the prefill is expected to compute
     * @param firstTokenNanos predicted time to the first token
     */
    record Pair(
            UpstreamState prefill,
            UpstreamState decode,
            long uncachedTokens,
            double firstTokenNanos) {}

    /**
     * Predicts the cost of a pair: the uncached tokens and the time to the first token.
     *
     * @param blocks ids of the prefix blocks of the prompt
     * @param promptTokens length of the prompt
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

    /** Selects the engines in turn; a baseline for comparison. */
    final class ForRoundRobin implements PairSelector {

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

    /** Selects the engines with the fewest reported requests; a baseline for comparison. */
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
     * Selects the least loaded decode engine, preferring those in this router's hall, and the
     * prefill engine with the earliest predicted first token. The prediction covers the queue at
     * the prefill engine, the uncached part of the prompt, the first decode step and transfer
     * between halls.
     */
    final class ForPredictedFirstToken implements PairSelector {

        /** Assumed cost of crossing from one hall to another. */
        private static final double CROSS_HALL_COST_NANOS = 2e6;

        /** Assumed cost of each request that runs on a decode engine. */
        private static final double RUNNING_REQUEST_COST_NANOS = 1e6;

        private final HallId mHall;

        /**
         * Creates a selector.
         *
         * @param hall hall of this router
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

        /** Returns the cost of a decode engine in nanoseconds. */
        private double decodeCost(UpstreamState decode) {
            double hallCost = decode.declaration().hall().equals(mHall) ? 0 : CROSS_HALL_COST_NANOS;
            return hallCost + decode.estimatedRunning() * RUNNING_REQUEST_COST_NANOS;
        }

        /** Returns the cost of a pair in nanoseconds. */
        private static double cost(Pair pair, HallId decodeHall) {
            double hallCost =
                    pair.prefill().declaration().hall().equals(decodeHall)
                            ? 0
                            : CROSS_HALL_COST_NANOS;
            return pair.firstTokenNanos() + hallCost;
        }
    }

    /** Returns the candidate with the lowest cost, the first one of equals; there must be one. */
    private static UpstreamState cheapest(
            List<UpstreamState> states, ToDoubleFunction<UpstreamState> cost) {
        Optional<UpstreamState> cheapest = states.stream().min(Comparator.comparingDouble(cost));
        return cheapest.orElseThrow();
    }
}
