package org.troutpier.daemon.waiting;

import java.util.List;
import org.troutpier.common.id.UpstreamIncarnation;
import org.troutpier.daemon.growth.MemoryAdmission;

/**
 * Keeps room at one engine for the first waiting request of this router that found none. Requests
 * behind it use that engine only if they fit beside it, and all other engines as before. Answers
 * prompts of unequal length: without it, short ones take each part of the room that a long one
 * needs. Confined to one thread. Invariant: at most one request has an engine.
 */
public final class BackfillReservation {

    private final WaitingOrder mOrder;

    /** The request that the room is kept for, or null; compared by identity. */
    private WaitingRequest mOwner;

    private UpstreamIncarnation mEngine;

    /** What the request takes, in tokens. */
    private long mTokens;

    /**
     * Creates an instance that keeps no room.
     *
     * @param order decides which of two requests is first
     */
    public BackfillReservation(WaitingOrder order) {
        mOrder = order;
    }

    /**
     * Records that a request found no room. If it is the first in the order, room is kept for it;
     * the engine remains the same for as long as it is listed.
     *
     * @param room decides whether an engine has memory for the request
     * @param tokens what the request takes
     * @param engines the engines that may be used
     */
    public void recordBlocked(
            WaitingRequest request,
            MemoryAdmission room,
            long tokens,
            List<EarliestRoom.EngineUsage> engines,
            long now) {
        if (request == mOwner) {
            for (EarliestRoom.EngineUsage each : engines) {
                if (each.engine().incarnation().equals(mEngine)) {
                    return;
                }
            }
        } else if (mOwner != null && !mOrder.precedes(request, mOwner, now)) {
            return;
        }
        mOwner = null;
        new EarliestRoom(room, tokens)
                .find(engines)
                .ifPresent(
                        engine -> {
                            mOwner = request;
                            mEngine = engine.incarnation();
                            mTokens = tokens;
                        });
    }

    /** Returns the tokens that a request leaves free at an engine for the one before it. */
    public long tokensKept(UpstreamIncarnation engine, WaitingRequest request, long now) {
        boolean kept =
                mOwner != null
                        && mOwner != request
                        && mEngine.equals(engine)
                        && mOrder.precedes(mOwner, request, now);
        return kept ? mTokens : 0;
    }

    /** Records that a request no longer waits. */
    public void recordEnd(WaitingRequest request) {
        if (request == mOwner) {
            mOwner = null;
        }
    }
}
