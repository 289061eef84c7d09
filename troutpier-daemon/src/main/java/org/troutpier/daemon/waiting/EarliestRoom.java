package org.troutpier.daemon.waiting;

import java.util.Optional;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.MemoryAdmission;

/**
 * Finds the engine that is likely to have room for a large request first, so that smaller ones
 * behind it do not take each part of the room as it becomes free. Knows only the tokens and calls
 * of each engine: its runs are taken to be of equal size and to end at an even rate. Immutable and
 * thread safe.
 *
 * @param room decides whether an engine has memory for the request
 * @param tokens what the request takes
 */
public record EarliestRoom(MemoryAdmission room, long tokens) {

    /**
     * The usage of an engine. Immutable and thread safe.
     *
     * @param engine the engine
     * @param usedTokens the tokens known to be in use there
     * @param calls the runs in progress there
     */
    public record EngineUsage(UpstreamEntry engine, long usedTokens, int calls) {}

    /** Returns the engine that is likely to have room first; empty if none ever has. */
    public Optional<UpstreamEntry> find(Iterable<EngineUsage> engines) {
        UpstreamEntry first = null;
        double least = Double.POSITIVE_INFINITY;
        for (EngineUsage usage : engines) {
            double wait = wait(usage);
            if (wait < least) {
                least = wait;
                first = usage.engine();
            }
        }
        return Optional.ofNullable(first);
    }

    /** Returns the time until an engine has room, as a fraction of the duration of a run. */
    private double wait(EngineUsage usage) {
        if (room.admits(usage.engine(), usage.usedTokens(), tokens)) {
            return 0;
        }
        for (int ended = 1; ended <= usage.calls(); ended++) {
            long left = usage.usedTokens() * (usage.calls() - ended) / usage.calls();
            if (room.admits(usage.engine(), left, tokens)) {
                return ended / (double) usage.calls();
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
