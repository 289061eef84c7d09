package org.troutpier.daemon.growth;

import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * Decides whether an engine's memory holds one further run. Implementations are confined to the
 * traffic loop.
 */
public interface MemoryAdmission {

    /**
     * Returns whether an engine's memory holds the run until it ends.
     *
     * @param engine the engine
     * @param usedTokens the tokens known to be in use there
     * @param tokens what has to stay free besides, and what the run takes at its start, tokens
     */
    boolean admits(UpstreamEntry engine, long usedTokens, long tokens);

    /** Returns what the decision requires of an engine, for a refusal's detail. */
    String requirement(long tokens);

    /**
     * Keeps a fixed part of each engine's memory free. Immutable and thread safe.
     *
     * @param marginTokens the part that stays free for growth, tokens
     * @param memoryTokens the memory of an engine, tokens
     */
    record ForMargin(double marginTokens, long memoryTokens) implements MemoryAdmission {

        /** {@inheritDoc} */
        @Override
        public boolean admits(UpstreamEntry engine, long usedTokens, long tokens) {
            return usedTokens + tokens + marginTokens <= memoryTokens;
        }

        /** {@inheritDoc} */
        @Override
        public String requirement(long tokens) {
            return tokens + "+" + (long) marginTokens + " tokens of " + memoryTokens;
        }
    }
}
