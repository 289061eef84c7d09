package org.troutpier.daemon.admission;

import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * The upstreams that an admitted request may use: the prefill half, absent for a plain service, and
 * the main half. The declarations are immutable and may be read on any thread; the rest is confined
 * to the control thread. Invariant: each half is released exactly once.
 */
public final class Grant {

    /** Prefill engine, or null for a plain service. */
    private final UpstreamState mPrefill;

    /** Decode engine, or replica of a plain service. */
    private final UpstreamState mMain;

    private final UpstreamDeclaration mPrefillDeclaration;

    private final UpstreamDeclaration mMainDeclaration;

    /** Number of prompt tokens that are expected not to be cached by the prefill engine. */
    private final long mUncachedTokens;

    /** Estimated number of tokens queued at the prefill engine when this was granted. */
    private final long mQueuedTokens;

    private final long mGrantedNanos;

    private boolean mPrefillReleased;

    private boolean mMainReleased;

    /**
     * Creates a grant.
     *
     * @param prefill prefill engine, or null for a plain service
     * @param main decode engine, or replica of a plain service
     * @param uncachedTokens number of tokens that the prefill is expected to compute
     * @param grantedNanos time of the grant on the monotonic clock
     */
    Grant(UpstreamState prefill, UpstreamState main, long uncachedTokens, long grantedNanos) {
        mPrefill = prefill;
        mMain = main;
        mPrefillDeclaration = prefill == null ? null : prefill.declaration();
        mMainDeclaration = main.declaration();
        mUncachedTokens = uncachedTokens;
        mQueuedTokens = prefill == null ? 0 : prefill.estimatedTokens();
        mGrantedNanos = grantedNanos;
        mPrefillReleased = prefill == null;
    }

    /**
     * Returns the declaration of the prefill engine at the time of the grant; null for a plain
     * service. Thread safe.
     */
    public UpstreamDeclaration prefill() {
        return mPrefillDeclaration;
    }

    /**
     * Returns the declaration of the decode engine or service replica at the time of the grant.
     * Thread safe.
     */
    public UpstreamDeclaration main() {
        return mMainDeclaration;
    }

    /** Returns the state of the prefill engine, or null for a plain service. */
    UpstreamState prefillState() {
        return mPrefill;
    }

    UpstreamState mainState() {
        return mMain;
    }

    /** Returns the number of tokens that the prefill is expected to compute. */
    long uncachedTokens() {
        return mUncachedTokens;
    }

    /**
     * Returns the number of tokens to compute until this prefill is done, including those queued
     * before it.
     */
    long tokensUntilDone() {
        return mQueuedTokens + mUncachedTokens;
    }

    /** Returns the time of the grant on the monotonic clock. */
    long grantedNanos() {
        return mGrantedNanos;
    }

    /**
     * Marks the prefill half as released.
     *
     * @return whether it was not released before
     */
    boolean releasePrefill() {
        boolean firstCall = !mPrefillReleased;
        mPrefillReleased = true;
        return firstCall;
    }

    /**
     * Marks the main half as released.
     *
     * @return whether it was not released before
     */
    boolean releaseMain() {
        boolean firstCall = !mMainReleased;
        mMainReleased = true;
        return firstCall;
    }
}
