package org.troutpier.daemon.waiting;

import org.troutpier.common.id.UpstreamIncarnation;

/**
 * Decides whether a request leaves free memory to requests that precede it at other routers, or
 * that are about to arrive. Answers a view of the other routers that is always somewhat old: those
 * that precede it may have ended, or may be unable to use the memory. Confined to one thread.
 * Invariant: a request leaves the memory of an engine for at most {@link #MAX_MILLIS} in a row.
 */
public final class HoldBack {

    /**
     * The longest time for which a request leaves the same memory, milliseconds: the others look
     * for memory every 15 to 30 ms and need one report to be known, and an eighth of the shortest
     * target is lost if none of them takes it.
     */
    public static final long MAX_MILLIS = 100;

    /** The engine whose memory is left free, or null. */
    private UpstreamIncarnation mEngine;

    /** Since when it is, milliseconds. */
    private long mSinceMillis;

    /**
     * Memory that is free for requests of one size. Immutable and thread safe.
     *
     * @param engine the engine with the most room, or null if none has room
     * @param requests how many requests the engines can hold
     */
    public record FreeMemory(UpstreamIncarnation engine, int requests) {}

    /**
     * Returns how many requests of one size have to find room before a request may take memory.
     *
     * @param tokensToLeave what it leaves free
     * @param requestTokens what it takes itself
     */
    public static int requiredRequests(double tokensToLeave, double requestTokens) {
        return 1 + (int) Math.ceil(tokensToLeave / Math.max(1, requestTokens));
    }

    /**
     * Returns whether the request leaves the free memory to others for now.
     *
     * @param required how many requests have to find room
     * @param now the clock, milliseconds
     */
    public boolean leaves(FreeMemory free, int required, long now) {
        if (free.engine() == null || free.requests() >= required) {
            mEngine = null;
            return false;
        }
        if (!free.engine().equals(mEngine)) {
            mEngine = free.engine();
            mSinceMillis = now;
        }
        return now - mSinceMillis < MAX_MILLIS;
    }
}
