package org.troutpier.daemon.serving;

import java.util.Optional;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.ActiveRuns;

/**
 * The memory that one request takes at one decode engine. Confined to the traffic loop. Invariant:
 * what was taken is freed exactly once.
 */
final class EngineMemory {

    private final UpstreamLoads mLoads;

    private final UpstreamEntry mEngine;

    /** The progress of the run; empty where its growth is not forecast. */
    private final Optional<ActiveRuns.Run> mRun;

    private long mTokens;

    /**
     * Takes over the memory of a prompt, which was recorded with its reservation.
     *
     * @param run the progress of the run; empty where its growth is not forecast
     */
    EngineMemory(
            UpstreamLoads loads,
            UpstreamEntry engine,
            long promptTokens,
            Optional<ActiveRuns.Run> run) {
        mRun = run;
        mLoads = loads;
        mEngine = engine;
        mTokens = promptTokens;
    }

    /** Records further memory. */
    void grow(long tokens) {
        mTokens += tokens;
        if (mRun.isPresent()) {
            mRun.get().grow(tokens);
        }
        mLoads.addTokens(mEngine, tokens);
    }

    /** Records that all of the memory is free. */
    void free() {
        mRun.ifPresent(ActiveRuns.Run::end);
        mLoads.end(mEngine, mTokens);
        mTokens = 0;
    }
}
