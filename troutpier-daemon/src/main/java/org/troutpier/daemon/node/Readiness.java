package org.troutpier.daemon.node;

import java.util.Optional;
import org.troutpier.common.event.EventRing;

/**
 * Whether this router accepts new work. Thread safe. Invariant: it accepts none without a
 * configuration, while it stops, or while it is fenced.
 */
public final class Readiness {

    private final EventRing mEvents;

    private volatile boolean mConfigured;

    private volatile boolean mStopping;

    /** Why the router fenced itself, or null if it is not fenced. */
    private volatile String mFence;

    /**
     * Creates the state of a starting router.
     *
     * @param events records changes
     */
    public Readiness(EventRing events) {
        mEvents = events;
    }

    /** Returns why no new work is accepted, or empty if it is. */
    public Optional<String> obstacle() {
        if (mStopping) {
            return Optional.of("stopping");
        }
        if (!mConfigured) {
            return Optional.of("no configuration yet");
        }
        return Optional.ofNullable(mFence);
    }

    /** Records that a configuration is available. */
    public void setConfigured() {
        mConfigured = true;
    }

    /** Records that a stop was requested. */
    public void setStopping() {
        mStopping = true;
        mEvents.record("stopping", "", "");
    }

    /** Returns whether a stop was requested. */
    public boolean isStopping() {
        return mStopping;
    }

    /**
     * Fences the router.
     *
     * @param reason the reason
     */
    public void fence(String reason) {
        if (mFence == null) {
            mEvents.record("fenced", "", reason);
        }
        mFence = reason;
    }

    /** Lifts the fence, if there is one. */
    public void liftFence() {
        if (mFence != null) {
            mEvents.record("fence-lifted", "", mFence);
        }
        mFence = null;
    }

    /** Returns whether the router is fenced until its configuration is validated again. */
    public boolean isFenced() {
        return mFence != null;
    }
}
