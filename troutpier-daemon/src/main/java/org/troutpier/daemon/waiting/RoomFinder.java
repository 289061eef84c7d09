package org.troutpier.daemon.waiting;

import java.util.ArrayList;
import java.util.List;
import org.troutpier.daemon.decision.QueueTier;
import org.troutpier.daemon.directory.UpstreamEntry;
import org.troutpier.daemon.growth.MemoryAdmission;

/**
 * Finds the engines with room for one request, and leaves the room to others that precede it.
 * Confined to the traffic loop.
 */
public final class RoomFinder {

    private final WaitingOrder mOrder;

    private final BackfillReservation mBackfill;

    private final EngineLoads mLoads;

    private final WaitingRequest mRequest;

    private final MemoryAdmission mRoom;

    /** What the request takes, in tokens. */
    private final long mTokens;

    private final HoldBack mHoldBack = new HoldBack();

    /** What is known of the engines. Implementations are confined to the traffic loop. */
    public interface EngineLoads {

        /** Returns whether the usage of engines by other routers is known. */
        boolean knowsOthers();

        /** Returns whether an engine recently refused a request because it was full. */
        boolean isFull(UpstreamEntry engine, long now);

        /** Returns the tokens known to be in use at an engine. */
        long tokens(UpstreamEntry engine);

        /** Returns the calls known to be in progress at an engine. */
        int calls(UpstreamEntry engine);
    }

    /**
     * Creates a finder.
     *
     * @param order decides which requests precede this one
     * @param backfill keeps room for the first request of this router
     * @param room decides whether an engine has memory for the request
     * @param tokens what the request takes
     */
    public RoomFinder(
            WaitingOrder order,
            BackfillReservation backfill,
            EngineLoads loads,
            WaitingRequest request,
            MemoryAdmission room,
            long tokens) {
        mOrder = order;
        mBackfill = backfill;
        mLoads = loads;
        mRequest = request;
        mRoom = room;
        mTokens = tokens;
    }

    /**
     * Returns whether an engine has a free slot, and memory for the prompt and for the growth of
     * the requests that run there. While no other router's usage is known, only a recent refusal
     * counts: then the engine alone decides.
     */
    public boolean hasRoom(UpstreamEntry engine, long now) {
        return hasRoom(engine, 0, now);
    }

    /**
     * Returns whether an engine has room for the request and others like it.
     *
     * @param others how many others
     */
    private boolean hasRoom(UpstreamEntry engine, int others, long now) {
        if (mLoads.isFull(engine, now)) {
            return false;
        }
        if (!mLoads.knowsOthers()) {
            return true;
        }
        if (mLoads.calls(engine) + others >= engine.slots()) {
            return false;
        }
        long required =
                mTokens
                        + headroomTokens()
                        + mBackfill.tokensKept(engine.incarnation(), mRequest, now);
        return mRoom.admits(engine, mLoads.tokens(engine) + others * mTokens, required);
    }

    /**
     * Returns how much memory a late request leaves to one that can still be in time and may arrive
     * at any router at any moment, in tokens. A quarter of the memory instead of one prompt brings
     * no more requests in time and has twice as many refused again.
     */
    private long headroomTokens() {
        return mRequest.claim().tier() == QueueTier.IN_TIME ? 0 : mTokens;
    }

    /**
     * Returns the engines that the request may use now: all, or only those whose memory is not left
     * to others that precede it elsewhere.
     *
     * @param engines the engines, the preferred first
     */
    public List<UpstreamEntry> usable(List<UpstreamEntry> engines, long now) {
        if (!mOrder.isShared() || !mLoads.knowsOthers()) {
            return engines;
        }
        int runs = 0;
        for (UpstreamEntry engine : engines) {
            runs += mLoads.calls(engine);
        }
        Preceding preceding = mOrder.preceding(mRequest, runs, now);
        if (preceding.tokens() == 0) {
            return engines;
        }
        List<UpstreamEntry> withRoom = new ArrayList<>();
        List<UpstreamEntry> spare = new ArrayList<>();
        int required = HoldBack.requiredRequests(preceding.tokens(), mTokens);
        int requests = 0;
        for (UpstreamEntry engine : engines) {
            if (!hasRoom(engine, now)) {
                continue;
            }
            withRoom.add(engine);
            if (!isWanted(engine, (long) preceding.largest())) {
                spare.add(engine);
            }
            for (int more = 0; requests < required && hasRoom(engine, more, now); more++) {
                requests++;
            }
        }
        List<UpstreamEntry> usable =
                mHoldBack.usable(
                        withRoom,
                        requests < required ? List.of() : spare,
                        preceding.moreUrgent(),
                        now);
        if (usable.isEmpty() && !withRoom.isEmpty()) {
            mOrder.recordHeldBack(mRequest);
        }
        return usable;
    }

    /**
     * Returns whether an engine has room for a larger request that precedes this one, but not for
     * both.
     */
    private boolean isWanted(UpstreamEntry engine, long largest) {
        long used = mLoads.tokens(engine);
        return largest > mTokens
                && mRoom.admits(engine, used, largest)
                && !mRoom.admits(engine, used, largest + mTokens);
    }

    /**
     * Records a request that got no room, so that one engine is kept for the first such request.
     */
    public void recordBlocked(List<UpstreamEntry> engines, long now) {
        if (!mOrder.isShared()) {
            return;
        }
        List<EarliestRoom.EngineUsage> usage = new ArrayList<>();
        for (UpstreamEntry engine : engines) {
            if (hasRoom(engine, now)) {
                return;
            }
            usage.add(
                    new EarliestRoom.EngineUsage(
                            engine, mLoads.tokens(engine), mLoads.calls(engine)));
        }
        mBackfill.recordBlocked(mRequest, mRoom, mTokens, usage, now);
    }
}
