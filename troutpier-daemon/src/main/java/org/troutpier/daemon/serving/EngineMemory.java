package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * What one request takes at one decode engine. Confined to the traffic loop. Invariant: what was
 * taken is freed once.
 */
final class EngineMemory {

    /** Where it is recorded. */
    private final UpstreamLoads mLoads;

    /** The engine. */
    private final UpstreamEntry mEngine;

    /** How many tokens are taken. */
    private long mTokens;

    /**
     * Keeps the memory of a prompt, which was taken with its place.
     *
     * @param loads where it is recorded
     * @param engine the engine
     * @param promptTokens the prompt's length
     */
    EngineMemory(UpstreamLoads loads, UpstreamEntry engine, long promptTokens) {
        mLoads = loads;
        mEngine = engine;
        mTokens = promptTokens;
    }

    /**
     * Takes more.
     *
     * @param tokens how many more
     */
    void grow(long tokens) {
        mTokens += tokens;
        mLoads.addTokens(mEngine, tokens);
    }

    /** Frees all. */
    void free() {
        mLoads.end(mEngine, mTokens);
        mTokens = 0;
    }
}
