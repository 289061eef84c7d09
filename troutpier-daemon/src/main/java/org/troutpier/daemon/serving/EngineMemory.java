package org.troutpier.daemon.serving;

import org.troutpier.daemon.directory.UpstreamEntry;

/**
 * The memory that one request takes at one decode engine. Confined to the traffic loop. Invariant:
 * what was taken is freed exactly once.
 */
final class EngineMemory {

    private final UpstreamLoads mLoads;

    private final UpstreamEntry mEngine;

    private long mTokens;

    /** Takes over the memory of a prompt, which was recorded with its reservation. */
    EngineMemory(UpstreamLoads loads, UpstreamEntry engine, long promptTokens) {
        mLoads = loads;
        mEngine = engine;
        mTokens = promptTokens;
    }

    /** Records further memory. */
    void grow(long tokens) {
        mTokens += tokens;
        mLoads.addTokens(mEngine, tokens);
    }

    /** Records that all of the memory is free. */
    void free() {
        mLoads.end(mEngine, mTokens);
        mTokens = 0;
    }
}
