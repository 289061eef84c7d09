package org.troutpier.daemon.admission;

import org.troutpier.common.declaration.UpstreamDeclaration;
import org.troutpier.daemon.placement.UpstreamState;

/**
 * What a request may use. The declarations are immutable and may be read anywhere; the rest is
 * confined to the control thread. Invariant: each of the two halves is given back exactly once.
 */
public final class Grant {

    /** The prefill engine, or null for a plain service. */
    private final UpstreamState mPrefill;

    /** The decode engine or the service's replica. */
    private final UpstreamState mMain;

    /** The prefill engine's declaration when this was granted, or null. */
    private final UpstreamDeclaration mPrefillDeclaration;

    /** The main upstream's declaration when this was granted. */
    private final UpstreamDeclaration mMainDeclaration;

    /** How many tokens the prefill is expected to compute. */
    private final long mUncachedTokens;

    /** How many tokens waited before it when this was granted. */
    private final long mQueuedTokens;

    /** When this was granted. */
    private final long mGrantedNanos;

    /** Whether the prefill half was given back. */
    private boolean mPrefillReleased;

    /** Whether the main half was given back. */
    private boolean mMainReleased;

    /**
     * Creates a grant.
     *
     * @param prefill the prefill engine, or null for a plain service
     * @param main the decode engine or the service's replica
     * @param uncachedTokens how many tokens the prefill is expected to compute
     * @param grantedNanos when this is granted
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
     * Returns the prefill engine; may be called from any thread.
     *
     * @return its declaration, null for a plain service
     */
    public UpstreamDeclaration prefill() {
        return mPrefillDeclaration;
    }

    /**
     * Returns the decode engine or the service's replica; may be called from any thread.
     *
     * @return its declaration
     */
    public UpstreamDeclaration main() {
        return mMainDeclaration;
    }

    /**
     * Returns the prefill engine's state.
     *
     * @return the state, or null
     */
    UpstreamState prefillState() {
        return mPrefill;
    }

    /**
     * Returns the main upstream's state.
     *
     * @return the state
     */
    UpstreamState mainState() {
        return mMain;
    }

    /**
     * Returns how many tokens the prefill is expected to compute.
     *
     * @return tokens
     */
    long uncachedTokens() {
        return mUncachedTokens;
    }

    /**
     * Returns how many tokens were to be computed before this grant's own were done.
     *
     * @return tokens, those that waited included
     */
    long tokensUntilDone() {
        return mQueuedTokens + mUncachedTokens;
    }

    /**
     * Returns when this was granted.
     *
     * @return nanoseconds by the monotonic clock
     */
    long grantedNanos() {
        return mGrantedNanos;
    }

    /**
     * Gives the prefill half back.
     *
     * @return whether it was not given back before
     */
    boolean releasePrefill() {
        boolean first = !mPrefillReleased;
        mPrefillReleased = true;
        return first;
    }

    /**
     * Gives the main half back.
     *
     * @return whether it was not given back before
     */
    boolean releaseMain() {
        boolean first = !mMainReleased;
        mMainReleased = true;
        return first;
    }
}
